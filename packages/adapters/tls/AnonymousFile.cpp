#include "adapters/tls/AnonymousFile.h"

#include "core/base/Assert.h"

#include <array>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace mustardshift {

namespace {

/** Opens a new file that has no name; -1 when that fails. */
int OpenNameless()
{
  std::error_code error;
  const std::string folder = std::filesystem::temp_directory_path(error).string();
  if (error) {
    return -1;
  }
  const int descriptor = open(folder.c_str(), O_TMPFILE | O_RDWR | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (descriptor >= 0) {
    return descriptor;
  }
  // Not every file system has O_TMPFILE.
  std::string path = folder + "/mustardshift-XXXXXX";
  const int named = mkostemp(path.data(), O_CLOEXEC);
  if (named >= 0) {
    unlink(path.c_str());
  }
  return named;
}

bool Fill(int aDescriptor, const std::string& aContent, long aVersion)
{
  std::size_t written = 0;
  while (written < aContent.size()) {
    const ssize_t size = write(aDescriptor, aContent.data() + written, aContent.size() - written);
    if (size <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(size);
  }
  const std::array<timespec, 2> times{ timespec{ aVersion, 0 }, timespec{ aVersion, 0 } };
  return futimens(aDescriptor, times.data()) == 0;
}

} // namespace

AnonymousFile::~AnonymousFile()
{
  if (this->descriptor >= 0) {
    close(this->descriptor);
  }
}

bool AnonymousFile::Replace(const std::string& aContent, long aVersion)
{
  const int next = OpenNameless();
  if (next < 0) {
    return false;
  }
  if (!Fill(next, aContent, aVersion)) {
    close(next);
    return false;
  }
  if (this->descriptor < 0) {
    this->descriptor = next;
    return true;
  }
  // dup3 lets the descriptor, and with it the path, refer to the new file in one step.
  const bool replaced = dup3(next, this->descriptor, O_CLOEXEC) >= 0;
  close(next);
  return replaced;
}

std::string AnonymousFile::Path() const
{
  MUSTARDSHIFT_ASSERT(this->descriptor >= 0);
  return "/proc/self/fd/" + std::to_string(this->descriptor);
}

} // namespace mustardshift
