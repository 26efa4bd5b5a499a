#include "kumquatbeam/runtime/log_writer.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/make_shared.hpp>

#include <iostream>

namespace kumquatbeam {

namespace logging = boost::log;

namespace {

    constexpr std::size_t queuedLines = 8192;

    using queued_sink = logging::sinks::asynchronous_sink<logging::sinks::text_ostream_backend,
        logging::sinks::bounded_fifo_queue<queuedLines, logging::sinks::drop_on_overflow>>;

    boost::shared_ptr<queued_sink>& currentSink()
    {
        static boost::shared_ptr<queued_sink> sink;
        return sink;
    }

} // namespace

void log_writer::placed(const placement_record& record)
{
    BOOST_LOG_TRIVIAL(info) << "placement: request=" << record.request.value << " account=" << record.account.value
                            << " pool=" << record.pool.value << " endpoint=" << record.endpoint.value << " because=\""
                            << record.reason << "\" next-best=" << record.runnerUp.value << " not-it=\""
                            << record.runnerUpReason << "\"";
}

void log_writer::refused(const refusal_record& record)
{
    BOOST_LOG_TRIVIAL(info) << record.decidedBy << ": refused request=" << record.request.value
                            << " account=" << record.account.value << " pool=" << record.pool.value
                            << " failure=" << nameOf(record.problem.kind) << " because=\"" << describe(record.problem)
                            << "\"";
}

void log_writer::changed(const change_record& record)
{
    BOOST_LOG_TRIVIAL(info) << record.part << ": " << record.change << " " << record.subject;
}

void log_writer::failed(std::string_view part, const failure& problem)
{
    BOOST_LOG_TRIVIAL(warning) << part << ": failure=" << nameOf(problem.kind) << " because=\"" << describe(problem)
                               << "\"";
}

log_sink::log_sink(const router_settings& settings)
{
    const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<queued_sink>(backend);
    namespace expr = logging::expressions;
    sink->set_formatter(
        expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f") << " "
                     << logging::trivial::severity << " " << settings.self.value << " " << expr::smessage);
    const auto core = logging::core::get();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    auto level = logging::trivial::info;
    logging::trivial::from_string(settings.logLevel.data(), settings.logLevel.size(), level);
    core->set_filter(logging::trivial::severity >= level);
    core->add_sink(sink);
    currentSink() = sink;
}

log_sink::~log_sink()
{
    const auto sink = currentSink();
    logging::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
    currentSink().reset();
}

} // namespace kumquatbeam
