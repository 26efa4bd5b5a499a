#include "kumquatbeam/codec/load_report.hpp"

#include "kumquatbeam/settings/setting_row.hpp"

#include <array>

namespace kumquatbeam {

namespace {

    constexpr setting_range callRange { 0, 1'000'000 };

    constexpr auto loadRows = std::to_array<setting_row<endpoint_load>>({
        settingRow<&endpoint_load::running>({ "running", "calls", callRange, true, "running calls" }),
        settingRow<&endpoint_load::waiting>({ "waiting", "calls", callRange, true, "calls waiting at the endpoint" }),
        settingRow<&endpoint_load::isLeaving>(
            { "leaving", "yes or no", { 0, 1 }, false, "whether the endpoint is leaving" }),
    });

} // namespace

std::optional<endpoint_load> parseLoadReport(const endpoint_id& endpoint, const std::string& text)
{
    const auto ini = parseIni(text);
    if (!ini.ok() || ini->sections.size() != 1 || ini->sections.front().kind != "load")
        return std::nullopt;
    endpoint_load load { .endpoint = endpoint };
    std::vector<failure> faults;
    fillRecord<endpoint_load>(load, loadRows, ini->sections.front(), faults);
    if (!faults.empty())
        return std::nullopt;
    return load;
}

} // namespace kumquatbeam
