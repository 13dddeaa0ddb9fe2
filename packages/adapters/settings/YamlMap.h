#pragma once

#include "adapters/settings/InputErrorCollector.h"
#include "core/base/Instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace mustardshift {

/** Reads the entries of one YAML map and reports each fault to a collector. A method that reports
    a fault returns its fallback; the caller discards the result when the collector isn't empty.

    Thread safety: none; belongs to one reading thread. */
class YamlMap
{
public:
  /** Reports keys that are unknown, repeated or no plain text, and a node that is no map.

      @param aNode    the map.
      @param aPath    path of the map, empty for the top of the file.
      @param aKnown   all keys that the map may have.
      @param aErrors  receives the faults; has to outlive this object. */
  YamlMap(const YAML::Node& aNode,
          std::string aPath,
          const std::vector<std::string_view>& aKnown,
          InputErrorCollector& aErrors);

  bool Has(const std::string& aKey) const;
  /** Line of the key, or of the map when the key is missing; counted from 1. */
  int LineOf(const std::string& aKey) const;
  /** Full path of a key. */
  std::string PathOf(const std::string& aKey) const;

  /** Removes a key whose value a template has left without its figure: an empty value, a unit alone
      such as "ms", or an address without its host or its port. Returns whether the key is missing
      afterwards. */
  bool RemoveUnfilled(const std::string& aKey);

  /** Adds a value that was given outside the file, as text. Precondition: the key is missing. */
  void Add(const std::string& aKey, const std::string& aText);

  /** Reports a fault of a key. */
  void Report(const std::string& aKey, const std::string& aMessage);

  /** Reads a text that is not empty and has at most 4096 bytes. Without a fallback the key is
      required. */
  std::string Text(const std::string& aKey,
                   const std::optional<std::string>& aFallback = std::nullopt);

  /** Reads a name: 1 to 64 letters, digits, '.', '_' or '-'. Without a fallback the key is
      required. */
  std::string Identifier(const std::string& aKey,
                         const std::optional<std::string>& aFallback = std::nullopt);

  /** Reads an address of the form IP:port or [IPv6]:port. Without a fallback the key is
      required. */
  std::string Address(const std::string& aKey,
                      const std::optional<std::string>& aFallback = std::nullopt);

  /** Reads a whole number between the bounds, which are included. */
  std::uint64_t Integer(const std::string& aKey,
                        std::uint64_t aLow,
                        std::uint64_t aHigh,
                        std::optional<std::uint64_t> aFallback = std::nullopt);

  /** Reads a finite number between the bounds, which are included. */
  double Number(const std::string& aKey, double aLow, double aHigh);

  /** Reads true or false. */
  bool Flag(const std::string& aKey, bool aFallback);

  /** Reads a span of time with its unit, such as 250ms, 2s, 500us or 0s. */
  Duration Span(const std::string& aKey, Duration aLow, Duration aHigh, Duration aFallback);

  /** Reads a list. A missing list is empty; a required one is reported. The bound on the number
      of entries keeps YAML aliases from multiplying a small file into a large one. */
  std::vector<YAML::Node> List(const std::string& aKey,
                               bool aRequired,
                               std::size_t aMaximumSize = 10'000);

  /** Returns the value of a key, or an undefined node. */
  YAML::Node Value(const std::string& aKey) const;

private:
  struct Entry
  {
    int line = 0;
    YAML::Node value;
  };

  /** Returns the scalar of a key, or reports why there is none. */
  std::optional<std::string> Scalar(const std::string& aKey,
                                    bool aRequired,
                                    bool aMayBeQuoted,
                                    const std::string& aExpected);

  std::string path;
  int line = 0;
  /** False when the node is no map; its missing keys are not reported on top of that. */
  bool isMap = false;
  std::map<std::string, Entry> entries;
  InputErrorCollector& errors;
};

/** Parses one YAML document with a map at its top. Reports text that is no YAML, that is larger
    than 4 MiB, or that has more than one document. Returns nothing after a report. */
std::optional<YAML::Node> ParseYamlDocument(const std::string& aText, InputErrorCollector& aErrors);

/** Line of a node, counted from 1; 0 when it has none. Thread safety: pure. */
int LineOf(const YAML::Node& aNode);

/** Tells whether a text is IP:port or [IPv6]:port, with a port from 1 to 65535. */
bool IsAddress(const std::string& aText);

/** Tells whether a text is a value that a template has left without its figure: empty, a unit of
    time or an address without its host or its port. Thread safety: pure. */
bool IsUnfilled(const std::string& aText);

/** Tells whether a text is a name: 1 to 64 letters, digits, '.', '_' or '-'. */
bool IsIdentifier(const std::string& aText);

/** Parses a span of time such as 250ms, 2s, 2.5s or 500us, rounded to microseconds; nothing when it
    is none. */
std::optional<Duration> ParseSpan(const std::string& aText);

/** Writes a span of time with the largest unit that divides it. */
std::string FormatSpan(Duration aSpan);

/** Reads a whole file; reports when it can't be read. */
std::optional<std::string> ReadTextFile(const std::string& aPath, InputErrorCollector& aErrors);

} // namespace mustardshift
