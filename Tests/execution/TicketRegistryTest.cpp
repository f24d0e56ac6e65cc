#include "papayabend/execution/TicketRegistry.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <thread>

using namespace papayabend::execution;
using namespace std::chrono_literals;
using papayabend::base::RefusalCode;
using papayabend::base::TimePoint;
using papayabend::base::Verdict;

namespace {

const TimePoint start { 1000s };

BeginRequest requestFor(const TicketId& id, uint64_t number = 1, uint64_t fingerprint = 7)
{
    return { id, number, "sul", "faturas", fingerprint };
}

}

TEST_GROUP(TicketRegistry)
{
    TicketSettings settings;
    TicketRegistry registry { "muscat.ruwi-1", 0x1f, settings };
    TicketId ticket { *registry.issueTicket("sul", "faturas", start) };

    void run(Verdict verdict)
    {
        registry.beginExecution(requestFor(ticket), start);
        CHECK(registry.markSent(ticket));
        registry.attemptFinished(ticket, verdict);
        registry.settle(ticket, verdict, RefusalCode::OutcomeUnknown, "done", start);
    }
};

// Guards against a ticket that is parsed as one of another host or process.
TEST(TicketRegistry, TextFormKeepsHostIncarnationAndSequence)
{
    papayabend::base::LastReason reason;
    CHECK(parseTicketId(toString(ticket), reason) == ticket);
    CHECK_FALSE(parseTicketId("1f.1", reason).has_value());
    CHECK_FALSE(parseTicketId("host.1f.1x", reason).has_value());
}

// Guards against a second run when the caller resends the request before or after the first one has ended.
TEST(TicketRegistry, ResentRequestWaitsForOrGetsTheStoredOutcome)
{
    CHECK(registry.beginExecution(requestFor(ticket, 1), start).kind == BeginKind::Start);
    CHECK(registry.beginExecution(requestFor(ticket, 2), start).kind == BeginKind::Wait);
    CHECK(registry.markSent(ticket));
    registry.attemptFinished(ticket, Verdict::Ran);
    auto settlement = registry.settle(ticket, Verdict::Ran, RefusalCode::OutcomeUnknown, "done", start);
    LONGS_EQUAL(1, settlement.waiting.size());
    auto resent = registry.beginExecution(requestFor(ticket, 3), start);
    CHECK(resent.kind == BeginKind::Outcome);
    CHECK(resent.record.body == "done");
}

// Guards against a second attempt while the first one is open or may have run.
TEST(TicketRegistry, SecondAttemptOnlyAfterNotRun)
{
    registry.beginExecution(requestFor(ticket), start);
    CHECK(registry.markSent(ticket));
    CHECK_FALSE(registry.markSent(ticket));
    registry.attemptFinished(ticket, Verdict::NotRun);
    CHECK(registry.markSent(ticket));
    registry.attemptFinished(ticket, Verdict::MayHaveRun);
    CHECK_FALSE(registry.markSent(ticket));
}

// Guards against the outcome "not run" for a request with an attempt that is open or may have run.
TEST(TicketRegistry, NotRunIsNotAcceptedAfterAnAttemptWasSent)
{
    registry.beginExecution(requestFor(ticket), start);
    registry.markSent(ticket);
    CHECK_FALSE(registry.settle(ticket, Verdict::NotRun, RefusalCode::Overloaded, {}, start).isAccepted);
    registry.attemptFinished(ticket, Verdict::MayHaveRun);
    CHECK_FALSE(registry.settle(ticket, Verdict::NotRun, RefusalCode::Overloaded, {}, start).isAccepted);
}

// Guards against a delayed copy of a request that runs after its caller got the answer "not run".
TEST(TicketRegistry, NotRunClosesTheTicket)
{
    registry.beginExecution(requestFor(ticket), start);
    CHECK(registry.settle(ticket, Verdict::NotRun, RefusalCode::QueueFull, {}, start).isAccepted);
    auto resent = registry.beginExecution(requestFor(ticket, 2), start);
    CHECK(resent.kind == BeginKind::Outcome);
    CHECK(resent.record.verdict == Verdict::NotRun);
    CHECK_FALSE(registry.markSent(ticket));
}

// Guards against a request that gets the outcome of another one, or runs with a ticket of another account.
TEST(TicketRegistry, TicketIsRefusedForAnotherBodyOrAccount)
{
    run(Verdict::Ran);
    CHECK(registry.beginExecution(requestFor(ticket, 2, 8), start).refusal.code == RefusalCode::TicketInvalid);
    BeginRequest otherAccount { ticket, 3, "muscat", "faturas", 7 };
    CHECK(registry.beginExecution(otherAccount, start).refusal.code == RefusalCode::TicketInvalid);
}

// Guards against a request that is started by another host or by a later process of the issuing host.
TEST(TicketRegistry, OnlyTheIssuingProcessStartsRequests)
{
    TicketRegistry other("muscat.ruwi-2", 0x1f, settings);
    TicketRegistry restarted("muscat.ruwi-1", 0x20, settings);
    CHECK(other.beginExecution(requestFor(ticket), start).kind == BeginKind::Elsewhere);
    CHECK(restarted.beginExecution(requestFor(ticket), start).kind == BeginKind::Elsewhere);
    CHECK_FALSE(restarted.markSent(ticket));
}

// Guards against a first use after the validity, and against the answer "not run" for a ticket whose record was
// removed.
TEST(TicketRegistry, ExpiredTicketIsClosedAndRemovedTicketMayHaveRun)
{
    auto late = registry.beginExecution(requestFor(ticket), start + settings.validity);
    CHECK(late.kind == BeginKind::Outcome);
    CHECK(late.record.code == RefusalCode::TicketExpired);
    registry.expire(start + 2 * settings.validity + settings.retention);
    LONGS_EQUAL(0, registry.records());
    auto removed = registry.beginExecution(requestFor(ticket), start + 1h);
    CHECK(removed.refusal.verdict == Verdict::MayHaveRun);
}

// Guards against memory that grows with the number of tickets.
TEST(TicketRegistry, NoTicketIsIssuedAtTheMemoryBound)
{
    TicketRegistry limited("h", 1, { 60s, 10min, 1, 1000 });
    CHECK(limited.issueTicket("sul", "faturas", start).has_value());
    CHECK_FALSE(limited.issueTicket("sul", "faturas", start).has_value());
}

// Guards against requests that are sent after the hand-over, and against a successor that answers "not run" for a
// request that was sent.
TEST(TicketRegistry, HandOverClosesUnsentTicketsAndKeepsOutcomes)
{
    auto unused = *registry.issueTicket("sul", "faturas", start);
    auto queued = *registry.issueTicket("sul", "faturas", start);
    auto open = *registry.issueTicket("sul", "faturas", start);
    run(Verdict::Ran);
    registry.beginExecution(requestFor(queued), start);
    registry.beginExecution(requestFor(open), start);
    registry.markSent(open);
    TicketRegistry successor("muscat.ruwi-2", 1, settings);
    successor.importRecords(registry.exportRecords(start), start);
    CHECK(registry.beginExecution(requestFor(unused), start).record.verdict == Verdict::NotRun);
    CHECK_FALSE(registry.markSent(queued));
    CHECK_FALSE(registry.issueTicket("sul", "faturas", start).has_value());
    CHECK(successor.beginExecution(requestFor(ticket), start).record.body == "done");
    CHECK(successor.beginExecution(requestFor(unused), start).record.state == TicketState::Closed);
    CHECK(successor.beginExecution(requestFor(open), start).record.verdict == Verdict::MayHaveRun);
}

// Guards against two threads that both start the request of one ticket.
TEST(TicketRegistry, OnlyOneOfManyThreadsStartsTheRequest)
{
    std::atomic<int> starts { 0 };
    {
        std::vector<std::jthread> threads;
        for (uint64_t n = 1; n <= 8; ++n)
            threads.emplace_back([&, n] {
                auto begun = registry.beginExecution(requestFor(ticket, n), start);
                if (begun.kind == BeginKind::Start && registry.markSent(ticket))
                    ++starts;
            });
    }
    LONGS_EQUAL(1, starts.load());
}
