#include "papayabend/dispatch/RecordMerge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace papayabend::dispatch {

std::string mergeRecords(std::span<const std::string_view> parts, size_t maxRecords)
{
    std::vector<std::string_view> records;
    for (auto part : parts) {
        for (; part.size() >= recordBytes; part.remove_prefix(recordBytes))
            records.push_back(part.substr(0, recordBytes));
    }
    auto count = std::min(maxRecords, records.size());
    // std::string_view compares characters as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(),
        std::greater<std::string_view>());
    std::string merged;
    merged.reserve(count * recordBytes);
    std::for_each_n(records.begin(), count, [&](auto record) { merged += record; });
    return merged;
}

}
