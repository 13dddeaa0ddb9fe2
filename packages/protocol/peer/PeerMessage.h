#pragma once

#include "protocol/peer/ConfigurationPush.h"
#include "protocol/peer/Ping.h"
#include "protocol/peer/Pong.h"
#include "protocol/peer/PrimaryChanged.h"
#include "protocol/peer/QuotaLoanGrantMessage.h"
#include "protocol/peer/QuotaLoanRequestMessage.h"
#include "protocol/peer/SuspicionAnswer.h"
#include "protocol/peer/SuspicionQuery.h"

#include <variant>

namespace mustardshift {

/** Any message that VMs send to each other. The index of an alternative is the kind of the message
    on the wire, so new alternatives have to be appended. */
using PeerMessage = std::variant<Ping,
                                 Pong,
                                 SuspicionQuery,
                                 SuspicionAnswer,
                                 QuotaLoanRequestMessage,
                                 QuotaLoanGrantMessage,
                                 ConfigurationPush,
                                 PrimaryChanged>;

/** Returns the header of a message. Thread safety: pure. */
inline const PeerHeader& HeaderOf(const PeerMessage& aMessage)
{
  return std::visit(
    [](const auto& aTypedMessage) -> const PeerHeader& { return aTypedMessage.header; }, aMessage);
}

} // namespace mustardshift
