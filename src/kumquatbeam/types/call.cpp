#include "kumquatbeam/types/call.hpp"

namespace kumquatbeam {

std::string_view nameOf(reply_kind kind)
{
    switch (kind) {
    case reply_kind::Answered:
        return "answered";
    case reply_kind::NotRun:
        return "not-run";
    case reply_kind::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace kumquatbeam
