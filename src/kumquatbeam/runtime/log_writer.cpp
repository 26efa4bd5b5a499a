#include "kumquatbeam/runtime/log_writer.hpp"

#include "kumquatbeam/types/excerpt.hpp"

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
#include <boost/log/utility/exception_handler.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <utility>

namespace kumquatbeam {

namespace logging = boost::log;

namespace {

    constexpr std::size_t queueCapacity = 8192;

    /// The limit of lines per second, divided by this, is the limit for refusals.
    constexpr std::int64_t refusalLineDivisor = 20;

    using queued_sink = logging::sinks::asynchronous_sink<logging::sinks::text_ostream_backend,
        logging::sinks::bounded_fifo_queue<queueCapacity, logging::sinks::drop_on_overflow>>;

    std::string textOf(const decision_basis& basis)
    {
        if (!basis.age)
            return {};
        return " routes=" + std::to_string(basis.routes.value) + " age-ms=" + std::to_string(basis.age->count());
    }

    logging::trivial::severity_level severityOf(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return logging::trivial::debug;
        case log_level::Info:
            return logging::trivial::info;
        case log_level::Warning:
            return logging::trivial::warning;
        case log_level::Error:
            return logging::trivial::error;
        }
        return logging::trivial::info;
    }

    boost::shared_ptr<queued_sink>& currentSink()
    {
        static boost::shared_ptr<queued_sink> sink;
        return sink;
    }

} // namespace

log_writer::log_writer(std::int64_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
{
}

void log_writer::placed(const placement_record& record)
{
    if (!acquireLine())
        return;
    BOOST_LOG_TRIVIAL(info) << "placement: request=" << record.request.value << " id=" << record.callerRequestId.value
                            << " account=" << record.account.value << " pool=" << record.pool.value
                            << " endpoint=" << record.endpoint.value << " attempt=" << record.attempt
                            << " wait-us=" << record.wait.count() << " because=\"" << record.reason
                            << "\" next-best=" << record.runnerUp.value << " not-it=\"" << record.runnerUpReason << "\""
                            << textOf(record.basis);
}

void log_writer::refused(const refusal_record& record)
{
    if (!acquireRefusalLine())
        return;
    BOOST_LOG_TRIVIAL(info) << record.decidedBy << ": refused request=" << record.request.value
                            << " id=" << record.callerRequestId.value << " account=" << record.account.value
                            << " pool=" << record.pool.value << " failure=" << nameOf(record.problem.kind)
                            << " because=\"" << excerptOf(describe(record.problem)) << "\"" << textOf(record.basis);
}

void log_writer::ended(const outcome_record& record)
{
    if (!acquireLine())
        return;
    BOOST_LOG_TRIVIAL(info) << "outcome: request=" << record.request.value << " id=" << record.callerRequestId.value
                            << " account=" << record.account.value << " pool=" << record.pool.value
                            << " endpoint=" << record.endpoint.value << " kind=" << nameOf(record.kind)
                            << " status=" << record.status.value << " failure=" << nameOf(record.problem)
                            << " attempts=" << record.attempts
                            << " first-byte-ms=" << (record.firstByte ? record.firstByte->count() : -1)
                            << " total-ms=" << record.total.count()
                            << " age-ms=" << (record.age ? record.age->count() : -1)
                            << " left-ms=" << record.left.count();
}

void log_writer::changed(const change_record& record)
{
    if (acquireLine())
        BOOST_LOG_TRIVIAL(info) << record.part << ": " << record.change << " " << excerptOf(record.subject);
}

void log_writer::failed(std::string_view part, const failure& problem)
{
    if (acquireLine())
        BOOST_LOG_TRIVIAL(warning) << part << ": failure=" << nameOf(problem.kind) << " because=\""
                                   << excerptOf(describe(problem)) << "\"";
}

bool log_writer::acquireLine()
{
    const auto now = clock::now();
    if (now >= m_windowEnd) {
        m_windowEnd = now + std::chrono::seconds(1);
        m_linesLeft = m_linesPerSecond;
        m_refusalsLeft = std::max<std::int64_t>(m_linesPerSecond / refusalLineDivisor, 1);
        if (const auto dropped = std::exchange(m_droppedLines, 0))
            BOOST_LOG_TRIVIAL(warning) << "log: dropped lines=" << dropped << " because=\"log-rate\"";
    }
    if (m_linesLeft == 0) {
        ++m_droppedLines;
        return false;
    }
    --m_linesLeft;
    return true;
}

bool log_writer::acquireRefusalLine()
{
    if (!acquireLine())
        return false;
    if (m_refusalsLeft == 0) {
        ++m_linesLeft;
        ++m_droppedLines;
        return false;
    }
    --m_refusalsLeft;
    return true;
}

log_sink::log_sink(const router_settings& settings)
{
    const auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<queued_sink>(backend);
    sink->set_exception_handler(logging::make_exception_suppressor());
    namespace expr = logging::expressions;
    sink->set_formatter(
        expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f") << " "
                     << logging::trivial::severity << " " << settings.self.value << " " << expr::smessage);
    const auto core = logging::core::get();
    core->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
    core->set_filter(logging::trivial::severity >= severityOf(settings.logLevel));
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
