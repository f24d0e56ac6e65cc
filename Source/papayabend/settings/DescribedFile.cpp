#include "papayabend/settings/DescribedFile.h"

#include <fstream>
#include <iterator>

namespace papayabend::settings {

std::optional<std::string> readText(const std::string& file, base::LastReason& reason)
{
    std::ifstream stream(file);
    if (!stream)
        return base::fail(reason, file + ": cannot be read");
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

}
