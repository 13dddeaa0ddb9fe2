#pragma once

#include <cstdio>
#include <cstdlib>

/** Checks a precondition of a public method. A violation is a programming error in the calling
    code: it is reported on standard error and the process aborts, in every build type. */
#define MUSTARDSHIFT_ASSERT(condition)                                                             \
  do {                                                                                             \
    if (!(condition)) {                                                                            \
      std::fprintf(stderr, "%s:%d: precondition failed: %s\n", __FILE__, __LINE__, #condition);    \
      std::abort();                                                                                \
    }                                                                                              \
  } while (false)
