#pragma once

#include <functional>
#include <string>

namespace mustardshift::test {

/** Runs one named step of a test. Sections nest; a failure inside one names the path of all
    sections that enclose it.

    @param aTitle  what the step shows, a short sentence.
    @param aBody   the step; exceptions of CppUnit assertions pass through.

    Thread safety: the path belongs to the calling thread. */
void Section(const std::string& aTitle, const std::function<void()>& aBody);

/** Returns the path of the innermost section that failed last on this thread, and clears it. */
std::string TakeFailedSectionPath();

} // namespace mustardshift::test
