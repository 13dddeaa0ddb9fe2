#pragma once

#include <string>

namespace mustardshift {

/** A file without a name, which this process alone reads through /proc/self/fd. It vanishes with
    the process, even when that is killed, and its content is replaced atomically: a reader that
    opens the path sees either the old or the new content.

    Thread safety: Replace() from one thread at a time; Path() may be opened meanwhile. */
class AnonymousFile
{
public:
  AnonymousFile() = default;
  AnonymousFile(const AnonymousFile&) = delete;
  AnonymousFile& operator=(const AnonymousFile&) = delete;
  ~AnonymousFile();

  /** Replaces the content. Returns false, and leaves the content as it was, when no file can be
      made in the folder for temporary files.
      @param aVersion  becomes the time of last modification, in seconds, so that readers which
                       compare that time notice each change. */
  bool Replace(const std::string& aContent, long aVersion);

  /** Path to open. Precondition: Replace() succeeded. */
  std::string Path() const;

private:
  int descriptor = -1;
};

} // namespace mustardshift
