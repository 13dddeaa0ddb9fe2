#pragma once

#include "ctl/ExitCode.h"
#include "ctl/OutputFormat.h"

#include "operator.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift {

/** Result of a change, as it is printed. */
struct CtlReport
{
  ExitCode code = ExitCode::Internal;
  std::string message;
  /** Version that the change created, or the present one on a conflict; 0 when unknown. */
  std::uint64_t version = 0;
  std::vector<std::string> confirmedBy;
  std::vector<std::string> unconfirmed;
  std::uint32_t inForceWithinMilliseconds = 0;
  std::string operationId;
  /** The new key, where it has come into force or may have. */
  std::string key;
};

/** Formats the result of a change, with a line feed at the end. Thread safety: pure. */
std::string FormatReport(const CtlReport& aReport, OutputFormat aFormat);

/** Formats a schema. The text form is the schema file itself. Thread safety: pure. */
std::string FormatSchema(const operators::v1::ShowSchemaResponse& aResponse, OutputFormat aFormat);

/** Formats the state of a VM and what it knows of the others. Thread safety: pure. */
std::string FormatStatus(const operators::v1::StatusResponse& aResponse, OutputFormat aFormat);

} // namespace mustardshift
