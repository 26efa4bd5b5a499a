#include "kumquatbeam/capacity/capacity_slope.hpp"
#include "kumquatbeam/capacity/fleet_sample.hpp"
#include "kumquatbeam/codec/peer_codec.hpp"

#include <array>

namespace kumquatbeam {

namespace {

    constexpr std::array<std::size_t, 4> rowCounts { 0, 30, 95, 350 };
    constexpr std::array<std::size_t, 3> leavingCounts { 0, 10, 56 };
    /// IPv4 and TCP headers of a frame that is sent in a packet of its own.
    constexpr double headerBytes = 40;

    double wireBytes(const peer_message& message)
    {
        return static_cast<double>(encodeFrame(message, clock::now()).size()) + headerBytes;
    }

    double codecTime(const peer_message& message)
    {
        const auto now = clock::now();
        return cpuMicroseconds([&] {
            const auto bytes = encodeFrame(message, now);
            static_cast<void>(decodeFrame(bytes.substr(frameLengthSize), { now, now }));
        });
    }

    peer_message heartbeatOf(std::size_t leaving)
    {
        return peer_heartbeat { { 1 }, { 1 }, false, std::vector<wire_key>(leaving, wire_key { 1 }) };
    }

    peer_message reportOf(std::size_t accounts)
    {
        slot_report report { { 1 }, { 1 }, {}, {} };
        report.accounts.assign(accounts, { { 1 }, 1, 1, { 1 } });
        return report;
    }

    peer_message grantOf(std::size_t accounts)
    {
        slot_grant grant { { 1 }, { 1 }, 1, std::chrono::milliseconds(1500), {}, {} };
        grant.accounts.assign(accounts, { { 1 }, 1, { 1 } });
        return grant;
    }

    template <std::size_t Count>
    capacity_slope frameSlope(capacity_slope slope, const std::array<std::size_t, Count>& counts,
        peer_message (*make)(std::size_t), double (*costOf)(const peer_message&))
    {
        for (const auto count : counts)
            slope.points.push_back({ static_cast<double>(count), costOf(make(count)) });
        return slope;
    }

    capacity_slope heartbeatBytes(const capacity_options&)
    {
        return frameSlope(
            { "heartbeat-bytes", "leaving endpoints", "bytes with headers" }, leavingCounts, heartbeatOf, wireBytes);
    }

    capacity_slope heartbeatTime(const capacity_options&)
    {
        return frameSlope(
            { "heartbeat-codec", "leaving endpoints", "processor us" }, leavingCounts, heartbeatOf, codecTime);
    }

    capacity_slope reportBytes(const capacity_options&)
    {
        return frameSlope({ "report-bytes", "accounts", "bytes with headers" }, rowCounts, reportOf, wireBytes);
    }

    capacity_slope reportTime(const capacity_options&)
    {
        return frameSlope({ "report-codec", "accounts", "processor us" }, rowCounts, reportOf, codecTime);
    }

    capacity_slope grantBytes(const capacity_options&)
    {
        return frameSlope({ "grant-bytes", "accounts", "bytes with headers" }, rowCounts, grantOf, wireBytes);
    }

    capacity_slope grantTime(const capacity_options&)
    {
        return frameSlope({ "grant-codec", "accounts", "processor us" }, rowCounts, grantOf, codecTime);
    }

    constexpr auto table = std::to_array<slope_row>({
        { "heartbeat-bytes", heartbeatBytes },
        { "heartbeat-codec", heartbeatTime },
        { "report-bytes", reportBytes },
        { "report-codec", reportTime },
        { "grant-bytes", grantBytes },
        { "grant-codec", grantTime },
    });

} // namespace

std::span<const slope_row> frameSlopes()
{
    return table;
}

} // namespace kumquatbeam
