#include "papayabend/execution/TicketBook.h"

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

TEST_GROUP(TicketBook)
{
    TicketSettings settings;
    TicketBook book { "muscat.ruwi-1", 0x1f, settings };
    TicketId ticket { *book.issueTicket("sul", "faturas", start) };

    void run(Verdict verdict)
    {
        book.beginExecution(requestFor(ticket), start);
        CHECK(book.markSent(ticket));
        book.attemptFinished(ticket, verdict);
        book.settle(ticket, verdict, RefusalCode::OutcomeUnknown, "done", start);
    }
};

// Guards against a ticket that is parsed as one of another host or process.
TEST(TicketBook, TextFormKeepsHostIncarnationAndSequence)
{
    papayabend::base::LastReason reason;
    CHECK(parseTicketId(toString(ticket), reason) == ticket);
    CHECK_FALSE(parseTicketId("1f.1", reason).has_value());
    CHECK_FALSE(parseTicketId("host.1f.1x", reason).has_value());
}

// Guards against a second run when the caller resends the request before or after the first one has ended.
TEST(TicketBook, ResentRequestWaitsForOrGetsTheStoredOutcome)
{
    CHECK(book.beginExecution(requestFor(ticket, 1), start).kind == BeginKind::Start);
    CHECK(book.beginExecution(requestFor(ticket, 2), start).kind == BeginKind::Wait);
    CHECK(book.markSent(ticket));
    book.attemptFinished(ticket, Verdict::Ran);
    auto settlement = book.settle(ticket, Verdict::Ran, RefusalCode::OutcomeUnknown, "done", start);
    LONGS_EQUAL(1, settlement.waiting.size());
    auto resent = book.beginExecution(requestFor(ticket, 3), start);
    CHECK(resent.kind == BeginKind::Outcome);
    CHECK(resent.record.body == "done");
}

// Guards against a second attempt while the first one is open or may have run.
TEST(TicketBook, SecondAttemptOnlyAfterNotRun)
{
    book.beginExecution(requestFor(ticket), start);
    CHECK(book.markSent(ticket));
    CHECK_FALSE(book.markSent(ticket));
    book.attemptFinished(ticket, Verdict::NotRun);
    CHECK(book.markSent(ticket));
    book.attemptFinished(ticket, Verdict::MayHaveRun);
    CHECK_FALSE(book.markSent(ticket));
}

// Guards against the outcome "not run" for a request with an attempt that is open or may have run.
TEST(TicketBook, NotRunIsNotAcceptedAfterAnAttemptWasSent)
{
    book.beginExecution(requestFor(ticket), start);
    book.markSent(ticket);
    CHECK_FALSE(book.settle(ticket, Verdict::NotRun, RefusalCode::Overloaded, {}, start).isAccepted);
    book.attemptFinished(ticket, Verdict::MayHaveRun);
    CHECK_FALSE(book.settle(ticket, Verdict::NotRun, RefusalCode::Overloaded, {}, start).isAccepted);
}

// Guards against a delayed copy of a request that runs after its caller got the answer "not run".
TEST(TicketBook, NotRunClosesTheTicket)
{
    book.beginExecution(requestFor(ticket), start);
    CHECK(book.settle(ticket, Verdict::NotRun, RefusalCode::QueueFull, {}, start).isAccepted);
    auto resent = book.beginExecution(requestFor(ticket, 2), start);
    CHECK(resent.kind == BeginKind::Outcome);
    CHECK(resent.record.verdict == Verdict::NotRun);
    CHECK_FALSE(book.markSent(ticket));
}

// Guards against a request that gets the outcome of another one, or runs with a ticket of another account.
TEST(TicketBook, TicketIsRefusedForAnotherBodyOrAccount)
{
    run(Verdict::Ran);
    CHECK(book.beginExecution(requestFor(ticket, 2, 8), start).refusal.code == RefusalCode::TicketInvalid);
    BeginRequest otherAccount { ticket, 3, "muscat", "faturas", 7 };
    CHECK(book.beginExecution(otherAccount, start).refusal.code == RefusalCode::TicketInvalid);
}

// Guards against a request that is started by another host or by a later process of the issuing host.
TEST(TicketBook, OnlyTheIssuingProcessStartsRequests)
{
    TicketBook other("muscat.ruwi-2", 0x1f, settings);
    TicketBook restarted("muscat.ruwi-1", 0x20, settings);
    CHECK(other.beginExecution(requestFor(ticket), start).kind == BeginKind::Elsewhere);
    CHECK(restarted.beginExecution(requestFor(ticket), start).kind == BeginKind::Elsewhere);
    CHECK_FALSE(restarted.markSent(ticket));
}

// Guards against a first use after the validity, and against the answer "not run" for a ticket whose record was
// removed.
TEST(TicketBook, ExpiredTicketIsClosedAndRemovedOneMayHaveRun)
{
    auto late = book.beginExecution(requestFor(ticket), start + settings.validity);
    CHECK(late.kind == BeginKind::Outcome);
    CHECK(late.record.code == RefusalCode::TicketExpired);
    book.expire(start + 2 * settings.validity + settings.retention);
    LONGS_EQUAL(0, book.records());
    auto removed = book.beginExecution(requestFor(ticket), start + 1h);
    CHECK(removed.refusal.verdict == Verdict::MayHaveRun);
}

// Guards against memory that grows with the number of tickets.
TEST(TicketBook, NoTicketIsIssuedAtTheMemoryBound)
{
    TicketBook limited("h", 1, { 60s, 10min, 1, 1000 });
    CHECK(limited.issueTicket("sul", "faturas", start).has_value());
    CHECK_FALSE(limited.issueTicket("sul", "faturas", start).has_value());
}

// Guards against requests that are sent after the hand-over, and against a successor that answers "not run" for a
// request that was sent.
TEST(TicketBook, HandOverClosesUnsentTicketsAndKeepsOutcomes)
{
    auto unused = *book.issueTicket("sul", "faturas", start);
    auto queued = *book.issueTicket("sul", "faturas", start);
    auto open = *book.issueTicket("sul", "faturas", start);
    run(Verdict::Ran);
    book.beginExecution(requestFor(queued), start);
    book.beginExecution(requestFor(open), start);
    book.markSent(open);
    TicketBook successor("muscat.ruwi-2", 1, settings);
    successor.importRecords(book.exportRecords(start), start);
    CHECK(book.beginExecution(requestFor(unused), start).record.verdict == Verdict::NotRun);
    CHECK_FALSE(book.markSent(queued));
    CHECK_FALSE(book.issueTicket("sul", "faturas", start).has_value());
    CHECK(successor.beginExecution(requestFor(ticket), start).record.body == "done");
    CHECK(successor.beginExecution(requestFor(unused), start).record.state == TicketState::Closed);
    CHECK(successor.beginExecution(requestFor(open), start).record.verdict == Verdict::MayHaveRun);
}

// Guards against two threads that both start the request of one ticket.
TEST(TicketBook, OnlyOneOfManyThreadsStartsTheRequest)
{
    std::atomic<int> starts { 0 };
    {
        std::vector<std::jthread> threads;
        for (uint64_t n = 1; n <= 8; ++n)
            threads.emplace_back([&, n] {
                auto begun = book.beginExecution(requestFor(ticket, n), start);
                if (begun.kind == BeginKind::Start && book.markSent(ticket))
                    ++starts;
            });
    }
    LONGS_EQUAL(1, starts.load());
}
