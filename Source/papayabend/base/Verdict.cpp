#include "papayabend/base/Verdict.h"

#include <algorithm>

namespace papayabend::base {

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    case Verdict::Ran:
        return "ran";
    }
    return "may_have_run";
}

Verdict combine(Verdict first, Verdict second) { return std::max(first, second); }

}
