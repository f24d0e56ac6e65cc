#include "papayabend/base/JsonSize.h"

namespace papayabend::base {

bool isJsonOfSize(std::string_view text, size_t maxValues)
{
    constexpr std::string_view valueStarts = "[{,:";
    size_t values = 1;
    bool isInString = false;
    for (size_t n = 0; n < text.size() && values <= maxValues; ++n) {
        if (text[n] == '"')
            isInString = !isInString;
        else if (isInString && text[n] == '\\')
            ++n;
        else if (!isInString && valueStarts.find(text[n]) != std::string_view::npos)
            ++values;
    }
    return values <= maxValues;
}

}
