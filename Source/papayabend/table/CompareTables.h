#pragma once

#include "papayabend/table/Table.h"

#include <string>
#include <vector>

namespace papayabend::table {

/** Returns one line for each difference from \a before to \a after, as operators read it; empty if both grant the
 * same. Versions are compared too.
 */
std::vector<std::string> compareTables(const Table& before, const Table& after);

}
