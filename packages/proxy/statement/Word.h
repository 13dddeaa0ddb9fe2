#pragma once

#include <algorithm>
#include <string_view>

namespace mustardshift::proxy {

/** Whether a text can stand as one word in a message to a server: it is not empty, and holds no
    blank and no control character. Thread safety: pure. */
inline bool IsWord(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return byte > 0x20 && byte != 0x7f;
  });
}

} // namespace mustardshift::proxy
