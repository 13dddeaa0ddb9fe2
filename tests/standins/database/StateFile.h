#pragma once

#include "state.pb.h"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift::standin {

/** Append-only file that lets a server's stand-in that was killed come back with its log, as a
    server with a disk does. Records survive the end of the process, not that of the machine.

    Thread safety: none; the caller serialises all calls. */
class StateFile
{
public:
  /** Opens or creates the file; an empty path keeps nothing. Ends the process when the file can't
     be used. */
  explicit StateFile(const std::string& aPath);

  /** Returns the records of an earlier process and drops them from memory. */
  std::vector<standin::v1::StateRecord> TakeRecords();

  void Append(const standin::v1::StateRecord& aRecord);

private:
  struct Closer
  {
    void operator()(std::FILE* aFile) const { std::fclose(aFile); }
  };

  void Read();

  std::unique_ptr<std::FILE, Closer> file;
  std::vector<standin::v1::StateRecord> records;
};

} // namespace mustardshift::standin
