#include "kumquatbeam/duties/decisions_duty.hpp"
#include "kumquatbeam/duties/ring_sizes.hpp"

#include <doctest/doctest.h>

#include <future>
#include <stdexcept>

using namespace kumquatbeam;

namespace {

/// An engine that fails at requests without a target, and answers all others.
class failing_engine final : public decision_engine {
public:
    explicit failing_engine(command_sink& commands)
        : m_commands(commands)
    {
    }

    void handle(const decision_event& event, time_point) override
    {
        const auto& arrived = std::get<request_arrived>(event);
        if (arrived.call->target.empty())
            throw std::runtime_error("no target");
        m_commands.send(caller_command { reply_to_caller { arrived.id, { .kind = reply_kind::Answered } } });
    }
    time_point nextDeadline() const override { return never; }
    void onDeadline(time_point) override { }

private:
    command_sink& m_commands;
};

request_arrived requestTo(std::uint64_t id, const std::string& target)
{
    call_request call;
    call.target = target;
    return { { id }, std::make_shared<const call_request>(std::move(call)) };
}

} // namespace

TEST_CASE("An unexpected error in a decision ends its request as unknown, and the next one is decided [containment]")
{
    router_settings settings;
    duty_links links;
    decisions_duty decisions(
        settings, links, [](command_sink& commands) { return std::make_unique<failing_engine>(commands); });
    duty<caller_command> callers("callers", callersRing(settings));
    links.decisions = &decisions.inbox();
    links.callers = &callers;
    std::vector<reply_to_caller> replies;
    std::promise<void> finished;
    callers.start([&](caller_command command) {
        replies.push_back(std::get<reply_to_caller>(std::move(command)));
        if (replies.size() == 2)
            finished.set_value();
    });
    decisions.start();
    links.decisions->post(requestTo(1, ""));
    links.decisions->post(requestTo(2, "/q"));
    REQUIRE(finished.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    decisions.stop();
    callers.stop();
    CHECK(replies[0].id == request_id { 1 });
    CHECK(replies[0].reply.kind == reply_kind::Unknown);
    CHECK(replies[0].reply.problem->kind == failure_kind::UnexpectedError);
    CHECK(replies[1].reply.kind == reply_kind::Answered);
}

TEST_CASE("An exception that leaves a handler does not end its thread [containment]")
{
    duty_thread thread("test");
    std::promise<void> survived;
    boost::asio::post(thread.context(), [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(thread.context(), [&] { survived.set_value(); });
    thread.start();
    CHECK(survived.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    thread.stop();
}
