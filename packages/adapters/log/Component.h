#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Part of the daemon that a log line comes from. */
enum class Component
{
  Daemon,
  Settings,
  Caller,
  Operator,
  Configuration,
  Platform,
  Database,
  Pool,
  Failover,
  Routing,
  Quota,
  Membership,
  Peer,
  Drain,
  Metrics,
  Health,
  Tls,
};

/** Fixed prefixes of log lines. Operators' filters depend on them. */
inline constexpr std::array<std::pair<Component, std::string_view>, 17> kComponentNames{ {
  { Component::Daemon, "daemon" },
  { Component::Settings, "settings" },
  { Component::Caller, "caller" },
  { Component::Operator, "operator" },
  { Component::Configuration, "configuration" },
  { Component::Platform, "platform" },
  { Component::Database, "database" },
  { Component::Pool, "pool" },
  { Component::Failover, "failover" },
  { Component::Routing, "routing" },
  { Component::Quota, "quota" },
  { Component::Membership, "membership" },
  { Component::Peer, "peer" },
  { Component::Drain, "drain" },
  { Component::Metrics, "metrics" },
  { Component::Health, "health" },
  { Component::Tls, "tls" },
} };

} // namespace mustardshift
