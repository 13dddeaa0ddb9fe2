#include "proxy/session/PreparedStatement.h"

#include "core/base/Sha256.h"
#include "proxy/statement/Word.h"

#include <cstddef>
#include <utility>

namespace mustardshift::proxy {

namespace {

/** Longer texts are named by their hash, in bytes. */
constexpr std::size_t kMaxTextInName = 64;

std::string NameOfText(AccessKind aAccess, const std::string& aText)
{
  const std::string prefix = aAccess == AccessKind::Read ? "r" : "w";
  if (aText.size() <= kMaxTextInName && IsWord(aText)) {
    return prefix + "_" + aText;
  }
  return prefix + "h_" + Sha256Hex(aText);
}

} // namespace

PreparedStatement MakePreparedStatement(AccessKind aAccess, std::string aText)
{
  std::string name = NameOfText(aAccess, aText);
  return { aAccess, std::move(aText), std::move(name) };
}

} // namespace mustardshift::proxy
