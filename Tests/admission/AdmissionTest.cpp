#include "papayabend/admission/Admission.h"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace papayabend::admission;
using namespace std::chrono_literals;
using papayabend::base::RefusalCode;
using papayabend::base::TimePoint;
using papayabend::base::Verdict;

TEST_GROUP(Admission)
{
    TimePoint now { 1000s };
    Admission admission { "host", {}, {} };
    uint64_t lastId = 0;

    void setup() override { grant({ { "muscat", { 1, {}, false } }, { "sul", { 1, {}, true } } }); }

    void grant(std::map<std::string, AccountGrant, std::less<>> accounts, double slots = 1)
    {
        const std::vector<ServiceGrants> grants { { "painel", slots, std::move(accounts) } };
        refusedByTable = admission.setGrants(grants, now).refused;
    }

    AdmissionStep submit(std::string_view account, std::chrono::milliseconds timeToDeadline = 1h)
    {
        return admission.submit(account, "painel", { ++lastId, now + timeToDeadline }, now);
    }

    std::vector<RefusedRequest> refusedByTable;
};

// Guards against requests of unknown accounts or services reaching an upstream.
TEST(Admission, UnknownAccountsAndServicesAreRefusedAsNotRun)
{
    CHECK(submit("nobody").refused.at(0).refusal.code == RefusalCode::UnknownAccount);
    auto step = admission.submit("sul", "nothing", { 1, now + 1s }, now);
    CHECK(step.refused.at(0).refusal.code == RefusalCode::UnknownService);
    CHECK(step.refused.at(0).refusal.verdict == Verdict::NotRun);
}

// Guards against bulk requests that are admitted before interactive ones, and against those that are never admitted.
TEST(Admission, InteractiveIsAdmittedFirstWithoutStarvingBulk)
{
    submit("muscat");
    auto bulk = lastId + 1;
    submit("sul");
    for (int n = 0; n < 20; ++n)
        submit("muscat");
    int position = 0;
    for (; position < 20; ++position) {
        if (admission.release("painel", 0us, 0us, now).admitted.at(0) == bulk)
            break;
    }
    CHECK(position > 0);
    CHECK(position < 10);
}

// Guards against requests that are admitted so late that they occupy upstreams and still miss their deadline, which
// made goodput collapse above capacity.
TEST(Admission, RequestsThatCannotEndInTimeAreRefusedEarly)
{
    submit("muscat");
    admission.release("painel", 5ms, 60ms, now);
    submit("muscat");
    auto refused = submit("muscat", 50ms).refused.at(0).refusal;
    CHECK(refused.code == RefusalCode::DeadlineTooShort);
    CHECK(refused.verdict == Verdict::NotRun);
    CHECK(submit("muscat", 500ms).refused.empty());
}

// Guards against a run time measured during an overload that makes an idle service refuse short requests.
TEST(Admission, IdleServiceAdmitsAShortRequest)
{
    submit("muscat");
    admission.release("painel", 5ms, 10s, now);
    now += 1s;
    LONGS_EQUAL(1, submit("muscat", 50ms).admitted.size());
}

// Guards against queues that grow without bound, and against a refusal without a time to retry.
TEST(Admission, FullQueueRefusesRequests)
{
    submit("muscat");
    for (size_t n = 0; n < AdmissionSettings {}.queueLength; ++n)
        CHECK(submit("muscat").refused.empty());
    admission.release("painel", 1000us, 0us, now);
    submit("muscat");
    auto refused = submit("muscat").refused.at(0).refusal;
    CHECK(refused.code == RefusalCode::QueueFull);
    CHECK(refused.verdict == Verdict::NotRun);
    CHECK(refused.retryAfter.has_value());
}

// Guards against running a request whose caller no longer waits.
TEST(Admission, QueuedRequestsAreRefusedAfterTheirDeadline)
{
    submit("muscat");
    submit("muscat", 10ms);
    now += 20ms;
    auto step = admission.expireQueued(now);
    CHECK(step.refused.at(0).refusal.code == RefusalCode::DeadlineExceeded);
    CHECK(admission.release("painel", 0us, 0us, now).admitted.empty());
}

// Guards against a queued request that is admitted after the table has withdrawn its account's access.
TEST(Admission, TableChangeRefusesQueuedRequests)
{
    submit("muscat");
    submit("sul");
    grant({ { "muscat", {} } });
    LONGS_EQUAL(1, refusedByTable.size());
    CHECK(refusedByTable[0].refusal.code == RefusalCode::AccessDenied);
    CHECK(admission.release("painel", 0us, 0us, now).admitted.empty());
}

// Guards against an account that is admitted above its granted rate while other accounts need their shares.
TEST(Admission, BackloggedAccountsAreAdmittedAtTheirGrantedRates)
{
    grant({ { "muscat", { 3, {}, false } }, { "sul", { 1, {}, true } } }, 2);
    submit("muscat");
    admission.release("painel", 10ms, 0us, now); // 2 slots of 10 ms serve 200/s, of which 190/s are granted.
    std::map<bool, int> admitted;
    std::map<uint64_t, bool> isMuscat;
    for (int n = 0; n < 10'000; ++n) {
        now += 1ms;
        std::deque<AdmissionStep> steps;
        steps.push_back(admission.dispatch("painel", now));
        isMuscat[lastId + 1] = true;
        steps.push_back(submit("muscat"));
        isMuscat[lastId + 1] = false;
        steps.push_back(submit("sul"));
        if (n % 500 == 0) {
            admission.takeReports(now);
            steps.push_back(admission.setAllocations(now));
        }
        for (; !steps.empty(); steps.pop_front()) {
            for (auto id : steps.front().admitted) {
                ++admitted[isMuscat[id]];
                steps.push_back(admission.release("painel", 10ms, 0us, now));
            }
        }
    }
    DOUBLES_EQUAL(190 * 10 * 0.75, admitted[true], 190 * 10 * 0.75 * 0.05);
    DOUBLES_EQUAL(190 * 10 * 0.25, admitted[false], 190 * 10 * 0.25 * 0.05);
}
