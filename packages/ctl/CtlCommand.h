#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace mustardshift {

/** Commands of mustardshiftctl. */
enum class CtlCommand
{
  ApplySchema,
  ShowSchema,
  GiveKey,
  WithdrawKey,
  TakeFailureDomainOut,
  BringFailureDomainIn,
  DrainDatabase,
  RestoreDatabase,
  DrainVm,
  ShowStatus,
};

/** How a command is written. */
struct CtlCommandForm
{
  CtlCommand command;
  /** Words that select the command, separated by one space. */
  std::string_view words;
  std::string_view operands;
  std::size_t leastOperands;
  std::size_t mostOperands;
  /** True when the command makes a configuration change, which may name its base version. */
  bool isChange;
  std::string_view help;
};

inline constexpr std::array<CtlCommandForm, 10> kCtlCommands{ {
  { CtlCommand::ApplySchema, "schema apply", "FILE", 1, 1, true, "put a schema file in force" },
  { CtlCommand::ShowSchema, "schema show", "", 0, 0, false, "print the schema in force" },
  { CtlCommand::GiveKey,
    "key give",
    "ORGANISATION NAME",
    2,
    2,
    true,
    "make a key, print it once, and send only its hash" },
  { CtlCommand::WithdrawKey, "key withdraw", "ORGANISATION NAME", 2, 2, true, "revoke a key" },
  { CtlCommand::TakeFailureDomainOut,
    "failure-domain out",
    "NAME",
    1,
    1,
    true,
    "give a failure domain no new work" },
  { CtlCommand::BringFailureDomainIn,
    "failure-domain in",
    "NAME",
    1,
    1,
    true,
    "bring a failure domain back" },
  { CtlCommand::DrainDatabase,
    "database drain",
    "NAME",
    1,
    1,
    true,
    "give a database no new work" },
  { CtlCommand::RestoreDatabase, "database restore", "NAME", 1, 1, true, "bring a database back" },
  { CtlCommand::DrainVm,
    "vm drain",
    "[NAME]",
    0,
    1,
    false,
    "drain the named VM, or the one VM that --vm gives" },
  { CtlCommand::ShowStatus, "status", "", 0, 0, false, "print the state as the VM sees it" },
} };

} // namespace mustardshift
