#include "papayabend/base/Published.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <thread>
#include <vector>

TEST_GROUP(Published) {};

// Guards against readers that receive a partly replaced or freed value while a writer publishes.
TEST(Published, ReadersReceiveCompleteValuesWhileAWriterPublishes)
{
    using Value = std::array<int, 64>;
    papayabend::base::Published<Value> published;
    std::atomic<bool> isTorn { false };
    {
        std::vector<std::jthread> readers;
        for (int n = 0; n < 4; ++n) {
            readers.emplace_back([&](const std::stop_token& stop) {
                while (!stop.stop_requested()) {
                    auto value = published.load();
                    if (value->front() != value->back())
                        isTorn = true;
                }
            });
        }
        for (int n = 0; n < 200; ++n) {
            Value value;
            value.fill(n);
            published.publish(std::make_shared<const Value>(value));
        }
    }
    CHECK_FALSE(isTorn);
    LONGS_EQUAL(199, published.load()->front());
}
