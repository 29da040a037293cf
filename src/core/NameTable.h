#ifndef PARSLEYRING_CORE_NAMETABLE_H
#define PARSLEYRING_CORE_NAMETABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace parsleyring {

/// Maps the enumerators of an enum class, in declaration order, to names.
template <typename Enum, std::size_t Count> struct NameTable {
  std::array<std::string_view, Count> m_Names;

  constexpr std::string_view name(Enum Value) const {
    return m_Names[static_cast<std::size_t>(Value)];
  }

  std::optional<Enum> value(std::string_view Name) const {
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (m_Names[Index] == Name)
        return static_cast<Enum>(Index);
    return std::nullopt;
  }
};

} // namespace parsleyring

#endif // PARSLEYRING_CORE_NAMETABLE_H
