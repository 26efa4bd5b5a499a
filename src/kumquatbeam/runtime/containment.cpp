#include "kumquatbeam/runtime/containment.hpp"

#include "kumquatbeam/types/excerpt.hpp"
#include "kumquatbeam/types/time.hpp"

#include <boost/log/trivial.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>

namespace kumquatbeam {

namespace {

    constexpr std::int64_t linesPerSecond = 5;

    /// Limits the lines about unexpected exceptions, which may come with every message of a faulty peer.
    class line_limit {
    public:
        bool acquire()
        {
            const std::lock_guard lock(m_mutex);
            const auto now = clock::now();
            if (now >= m_windowEnd) {
                m_windowEnd = now + std::chrono::seconds(1);
                m_linesLeft = linesPerSecond;
            }
            return m_linesLeft-- > 0;
        }

    private:
        std::mutex m_mutex;
        time_point m_windowEnd = time_point::min();
        std::int64_t m_linesLeft = 0;
    };

    line_limit& sharedLimit()
    {
        static line_limit limit;
        return limit;
    }

} // namespace

void logUnexpected(std::string_view part, const std::exception& error) noexcept
{
    try {
        if (sharedLimit().acquire())
            BOOST_LOG_TRIVIAL(error) << part << ": failure=unexpected-error because=\"" << excerptOf(error.what())
                                     << "\"";
    } catch (const std::exception&) {
        // Without memory for a log line there is nothing left to report with; the caller still contains the error.
        return;
    }
}

} // namespace kumquatbeam
