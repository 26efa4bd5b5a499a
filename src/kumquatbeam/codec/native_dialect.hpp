#pragma once

#include "kumquatbeam/codec/caller_dialect.hpp"
#include "kumquatbeam/codec/endpoint_dialect.hpp"

namespace kumquatbeam {

/// The native interface for callers, described in `docs/CALLERS.md`.
class native_caller_dialect final : public caller_dialect {
public:
    std::string_view readinessTarget() const override { return "/ready"; }
    absl::StatusOr<call_request> decode(http_request&&, const arrival_bounds&) const override;
    http_response encodeReply(const call_reply&, unsigned version, bool keepAlive, time_point now) const override;
    boost::beast::http::response_header<> encodeAnswerHead(const answer_head&, unsigned version) const override;
};

/// The native interface to endpoints, described in `docs/ENDPOINTS.md`. It uses a new connection for each attempt.
class native_endpoint_dialect final : public endpoint_dialect {
public:
    http_request encode(const start_attempt&, const std::string& streamId) const override;
    void setRemainingTime(http_request&, std::chrono::milliseconds) const override;
    answer_classification classify(const answer_header&, bool endsWithConnection, const start_attempt&,
        const std::string& streamId) const override;
    header_fields forwardedFields(const answer_header&) const override { return {}; }
    std::optional<endpoint_load> loadOf(const answer_header&, const endpoint_id&) const override
    {
        return std::nullopt;
    }
    /// Endpoints say in their load report that they are leaving.
    endpoint_notice noticeOf(const answer_header&, time_point) const override { return {}; }
    keep_alive_policy keepAlivePolicyOf(const answer_header&) const override { return {}; }
};

} // namespace kumquatbeam
