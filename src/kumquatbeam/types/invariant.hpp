#pragma once

#include <cstdio>
#include <cstdlib>

/// Aborts the process if a condition that the design relies on does not hold. Checked in every build, since a router
/// with a violated invariant must not continue to answer callers.
#define KUMQUATBEAM_INVARIANT(condition)                                                                               \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "invariant: %s does not hold at %s:%d\n", #condition, __FILE__, __LINE__);            \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
