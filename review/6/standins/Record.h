#pragma once

#include "Loop.h"

#include <fstream>
#include <string>

namespace review {

/** The record of a case: one line for each event, with the milliseconds since the start. */
class Record
{
public:
  Record(const Loop& aLoop, const std::string& aPath)
    : loop(aLoop)
    , file(aPath)
  {
  }

  void Write(const std::string& aLine)
  {
    this->file << this->loop.Now() << " " << aLine << "\n";
    this->file.flush();
  }

private:
  const Loop& loop;
  std::ofstream file;
};

} // namespace review
