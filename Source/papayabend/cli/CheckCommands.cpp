#include "papayabend/cli/Command.h"
#include "papayabend/cli/HostClient.h"
#include "papayabend/table/CompareTables.h"
#include "papayabend/table/Table.h"
#include "papayabend/transport/TableJson.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace papayabend::cli {

namespace {

    int printDifferences(const table::Table& checked, const std::string& host, bool asJson)
    {
        auto answer = getFrom(host, "/v1/table");
        if (!answer)
            return Unreachable;
        if (answer->status != 200)
            return reportRefusal(*answer);
        base::LastReason reason;
        auto before = transport::parseTableJson(answer->json, reason);
        if (!before) {
            std::cerr << "papayabend: " << reason.text << '\n';
            return Unreachable;
        }
        auto lines = table::compareTables(*before, checked);
        auto inForce = before->version;
        auto version = checked.version;
        if (asJson) {
            std::cout << Json { { "versionInForce", inForce }, { "version", version }, { "differences", lines } }.dump(
                2) << '\n';
        } else {
            std::cout << "version " << inForce << " in force, " << version << " in the file\n";
            for (const auto& line : lines)
                std::cout << line << '\n';
        }
        if (version <= inForce && !lines.empty()) {
            std::cerr << "papayabend: the file differs but its version is not higher; hosts will ignore it\n";
            return Refused;
        }
        return Success;
    }

    int checkTable(const options::variables_map& values)
    {
        auto name = values["file"].as<std::string>();
        std::ifstream file(name);
        if (!file) {
            std::cerr << "papayabend: " << name << " cannot be read\n";
            return Usage;
        }
        base::LastReason reason;
        auto table = table::parseTable(std::string(std::istreambuf_iterator<char>(file), {}), reason);
        if (!table) {
            std::cerr << name << ": " << reason.text << '\n';
            return Refused;
        }
        if (values.contains("diff"))
            return printDifferences(*table, values["diff"].as<std::string>(), values["json"].as<bool>());
        if (values["json"].as<bool>())
            std::cout << transport::toJson(*table).dump(2) << '\n';
        else
            std::cout << name << ": version " << table->version << ", " << table->rows.size() << " client accounts, "
                      << table->services.size() << " services\n";
        return Success;
    }

}

std::vector<Command> checkCommands()
{
    return { { "check-table", "check a table file, and compare it with the table in force on a host",
        [](options::options_description& description) {
            auto add = description.add_options();
            add("file", options::value<std::string>()->required(), "table file (CSV)");
            add("diff", options::value<std::string>(), "operator address of a host to compare with");
            add("json", options::bool_switch(), "print the result as JSON");
        },
        checkTable, "file" } };
}

}
