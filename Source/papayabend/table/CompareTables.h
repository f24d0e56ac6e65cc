#pragma once

#include "papayabend/table/Table.h"

#include <string>
#include <vector>

namespace papayabend::table {

/** Returns one line of text for operators for each difference between \a before and \a after, their versions
 * included. The order of rows and the spelling of cells are not differences.
 */
std::vector<std::string> compareTables(const Table& before, const Table& after);

}
