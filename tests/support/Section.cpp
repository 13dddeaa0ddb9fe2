#include "support/Section.h"

#include <vector>

namespace mustardshift::test {

namespace {

thread_local std::vector<std::string> openSections;
thread_local std::string failedPath;

std::string OpenPath()
{
  std::string path;
  for (const std::string& title : openSections) {
    path += path.empty() ? title : " / " + title;
  }
  return path;
}

} // namespace

void Section(const std::string& aTitle, const std::function<void()>& aBody)
{
  openSections.push_back(aTitle);
  try {
    aBody();
  } catch (...) {
    if (failedPath.empty()) {
      failedPath = OpenPath();
    }
    openSections.pop_back();
    throw;
  }
  openSections.pop_back();
}

std::string TakeFailedSectionPath()
{
  std::string path;
  path.swap(failedPath);
  return path;
}

} // namespace mustardshift::test
