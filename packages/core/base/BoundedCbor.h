#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift {

/** Deepest nesting of arrays and maps that ParseBoundedCbor accepts. */
inline constexpr unsigned kMaximumCborDepth = 16;

/** Parses one CBOR item that fills aBytes. Returns nothing when the bytes are malformed, nest
    deeper than kMaximumCborDepth, or use tags or indefinite lengths (which ToCbor never writes).

    nlohmann's parser recurses once for each level of nesting and for each chunk of an indefinite
    string, so a few megabytes from a peer could exhaust the stack; the structure is therefore
    checked without recursion first.

    Throws nothing. The size of the input is the caller's to limit. Thread safety: pure. */
std::optional<nlohmann::json> ParseBoundedCbor(std::string_view aBytes);

/** Writes a value as CBOR. Precondition: strings are UTF-8 or arbitrary bytes; the writer doesn't
    check them. Thread safety: pure. */
std::string ToCbor(const nlohmann::json& aValue);

} // namespace mustardshift
