#pragma once

#include "scripted_server.hpp"

#include "platform/store_reader.hpp"

#include <absl/strings/escaping.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace kumquatbeam::testing {

using namespace kumquatbeam::platform;
using namespace std::chrono_literals;

inline std::string item(const std::string& key, const std::string& value)
{
    return R"({"key":")" + key + R"(","revision":3,"value":")" + absl::Base64Escape(value) + R"("})";
}

/// A response of the store; `era` is the value of its era field, which is left out if it is empty.
inline std::string response(const std::string& body, const std::string& era = "")
{
    const auto field = era.empty() ? "" : "Store-Era: " + era + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + field + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string pageOf(const std::string& items, bool hasMore = false)
{
    return R"({"items":[)" + items + R"(],"truncated":)" + (hasMore ? "true}" : "false}");
}

/// A configuration without routes, in which one pool exists.
inline std::string configuration(const std::string& pool)
{
    return R"({"version":8,"routes":[],"services":[{"name":")" + pool + R"("}]})";
}

inline const std::string goodEntry
    = R"({"service":"s1","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":48,"state":"ready",)"
      R"("cold_remaining_ms":0,"sequence":4,"born":17})";

/// A store reader and the scripted store that it reads.
struct store_fixture {
    explicit store_fixture(server_script script, std::chrono::milliseconds changePropagationLimit = 2000ms)
        : server(context, std::move(script))
    {
        bounds.changePropagationLimit = changePropagationLimit;
        settings.platformAddress = "127.0.0.1";
        settings.platformPort = server.port();
        reader = std::make_shared<store_reader>(
            context, settings, bounds, [this](decision_event event) { events.push_back(std::move(event)); });
        reader->start();
    }

    void setChangePropagationLimit(std::chrono::milliseconds limit)
    {
        bounds.changePropagationLimit = limit;
        reader->setBounds(bounds);
    }

    template <typename Event> std::vector<Event> all() const
    {
        std::vector<Event> found;
        for (const auto& event : events) {
            if (const auto* match = std::get_if<Event>(&event))
                found.push_back(*match);
        }
        return found;
    }

    template <typename Event> bool awaits(std::size_t count, std::chrono::milliseconds limit)
    {
        return runUntil(
            context, [&] { return all<Event>().size() >= count; }, limit);
    }

    boost::asio::io_context context;
    scripted_server server;
    router_settings settings;
    route_bounds bounds;
    std::vector<decision_event> events;
    std::shared_ptr<store_reader> reader;
};

} // namespace kumquatbeam::testing
