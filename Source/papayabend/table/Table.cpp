#include "papayabend/table/Table.h"

#include <algorithm>

namespace papayabend::table {

std::string_view toString(Priority priority) { return priority == Priority::Bulk ? "bulk" : "interactive"; }

const Row* findRow(const Table& table, std::string_view account)
{
    auto it = std::ranges::lower_bound(table.rows, account, {}, &Row::account);
    return it == table.rows.end() || it->account != account ? nullptr : &*it;
}

const Grant* findGrant(const Table& table, std::string_view account, std::string_view service)
{
    const auto* row = findRow(table, account);
    auto column = std::ranges::find(table.services, service);
    if (!row || column == table.services.end())
        return nullptr;
    const auto& grant = row->grants[static_cast<size_t>(column - table.services.begin())];
    return grant ? &*grant : nullptr;
}

const Objective* findObjective(const Table& table, std::string_view service)
{
    auto it = std::ranges::find(table.objectives, service, &Objective::service);
    return it == table.objectives.end() ? nullptr : &*it;
}

}
