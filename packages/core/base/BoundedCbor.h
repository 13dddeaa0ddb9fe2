#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift {

/** Deepest nesting of arrays and maps that ParseBoundedCbor accepts. */
inline constexpr unsigned kMaxCborDepth = 16;

/** Parses one CBOR item that occupies all of aBytes. Returns nothing when the bytes are malformed,
    nest deeper than kMaxCborDepth, or use tags or indefinite lengths (which ToCbor never
    writes).

    nlohmann's parser recurses once for each level of nesting and for each chunk of an indefinite
    string, so an input of a few megabytes from a peer could exhaust the stack. Therefore a check
    without recursion validates the structure before the parser runs.

    Never throws. The caller has to limit the size of the input. Thread safety: pure function. */
std::optional<nlohmann::json> ParseBoundedCbor(std::string_view aBytes);

/** Encodes a value as CBOR. Strings may hold UTF-8 or arbitrary bytes; the encoder doesn't validate
    them. Thread safety: pure function. */
std::string ToCbor(const nlohmann::json& aValue);

} // namespace mustardshift
