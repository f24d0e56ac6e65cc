#include "papayabend/cli/Explain.h"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace papayabend;

namespace {

constexpr auto logs = R"(  1.5 host-1 {"time":100,"host":"h1","event":"start"}
{"time":150,"host":"h1","event":"configuration","version":4}
{"time":160,"host":"h2","event":"configuration","version":3}
not JSON
{"time":170,"host":"h1","event":"upstream","upstream":"u1","state":"draining"}
{"time":171,"host":"h1","event":"upstream","upstream":"u2","state":"ready"}
{"time":180,"host":"h1","event":"lost","dependency":"store","reason":"refused"}
{"time":200,"host":"h1","event":"request","id":"r1","outcome":"partial","legs":"s1 failed after 1 sent, 0 not run u1"}
{"time":210,"host":"h2","event":"request","id":"r2","outcome":"whole"}
{"time":300,"host":"h2","event":"request","id":"r1","outcome":"whole"})";

std::string explain(const std::string& id)
{
    std::istringstream stream(logs);
    std::string text;
    for (const auto& line : cli::explainRequest(stream, id))
        text += line + '\n';
    return text;
}

}

TEST_GROUP(Explain) {};

// Guards against a history that omits a host that handled the request, or mixes up the state of two hosts.
TEST(Explain, HistoryCoversTwoHosts)
{
    STRCMP_EQUAL("host h1, time 200\n"
                 "  50 ms before: configuration version=4\n"
                 "  20 ms before: lost dependency=store reason=refused\n"
                 "  30 ms before: upstream upstream=u1 state=draining\n"
                 "  request id=r1 outcome=partial legs=s1 failed after 1 sent, 0 not run u1\n"
                 "host h2, time 300\n"
                 "  140 ms before: configuration version=3\n"
                 "  request id=r1 outcome=whole\n",
        explain("r1").c_str());
}

// Guards against a refusal for an evacuation whose history does not show it.
TEST(Explain, HistoryShowsEvacuations)
{
    std::istringstream stream(R"({"time":10,"host":"h","event":"evacuation","failureDomain":"d1","state":"begun"}
{"time":20,"host":"h","event":"evacuation","failureDomain":"d2","state":"begun"}
{"time":30,"host":"h","event":"evacuation","failureDomain":"d2","state":"ended"}
{"time":40,"host":"h","event":"request","id":"r","outcome":"no_upstream"}
)");
    std::string text;
    for (const auto& line : cli::explainRequest(stream, "r"))
        text += line + '\n';
    STRCMP_EQUAL("host h, time 40\n"
                 "  30 ms before: evacuation failureDomain=d1 state=begun\n"
                 "  10 ms before: evacuation failureDomain=d2 state=ended\n"
                 "  request id=r outcome=no_upstream\n",
        text.c_str());
}

// Guards against matching an id that is only a prefix of the logged one.
TEST(Explain, UnknownRequestHasNoHistory)
{
    STRCMP_EQUAL("", explain("r").c_str());
    STRCMP_EQUAL("", explain("r3").c_str());
}
