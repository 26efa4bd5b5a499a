#pragma once

#include <cstdio>
#include <cstdlib>

/// Ends the process when a condition that the design relies on does not hold. Checked in every build: a router that
/// has lost an invariant must not go on answering callers.
#define KUMQUATBEAM_INVARIANT(condition)                                                                               \
    do {                                                                                                               \
        if (!(condition)) {                                                                                            \
            std::fprintf(stderr, "invariant: %s does not hold at %s:%d\n", #condition, __FILE__, __LINE__);            \
            std::abort();                                                                                              \
        }                                                                                                              \
    } while (false)
