#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace mustardshift {

/** String wrapper with a type of its own for each kind of name, so that the compiler rejects a name
    of the wrong kind.

    @tparam Tag  type that distinguishes the kinds; it needs no definition.

    Thread safety: a value type. */
template<class Tag>
class Name
{
public:
  Name() = default;
  explicit Name(std::string aText)
    : text(std::move(aText))
  {
  }

  const std::string& Text() const { return this->text; }
  bool IsEmpty() const { return this->text.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;

private:
  std::string text;
};

} // namespace mustardshift

template<class Tag>
struct std::hash<mustardshift::Name<Tag>>
{
  std::size_t operator()(const mustardshift::Name<Tag>& aName) const noexcept
  {
    return std::hash<std::string>{}(aName.Text());
  }
};
