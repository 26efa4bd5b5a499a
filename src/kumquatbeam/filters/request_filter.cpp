#include "kumquatbeam/filters/request_filter.hpp"

#include <utility>

namespace kumquatbeam {

call_reply notRun(failure problem)
{
    return { .kind = reply_kind::NotRun, .problem = std::move(problem) };
}

call_reply unknownOutcome(failure problem)
{
    return { .kind = reply_kind::Unknown, .problem = std::move(problem) };
}

} // namespace kumquatbeam
