#include "papayabend/membership/HostView.h"

#include <algorithm>

namespace papayabend::membership {

const HostObservation* findHost(const HostView& view, std::string_view name)
{
    auto it = std::ranges::lower_bound(view.hosts, name, {}, &HostObservation::name);
    return it == view.hosts.end() || it->name != name ? nullptr : &*it;
}

}
