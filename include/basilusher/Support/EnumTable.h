// Name tables for enumerations: one table serves both directions.
#ifndef BASILUSHER_SUPPORT_ENUMTABLE_H_
#define BASILUSHER_SUPPORT_ENUMTABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace basilusher {

template <typename Enum, std::size_t Size>
using EnumTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// Returns the name of `value`, or "invalid" for a value outside the table.
/// Thread-safe.
template <typename Enum, std::size_t Size>
constexpr std::string_view NameOf(const EnumTable<Enum, Size>& table,
                                  Enum value) {
  for (const std::pair<Enum, std::string_view>& row : table) {
    if (row.first == value) return row.second;
  }
  return "invalid";
}

/// Returns the value with `name`, or nothing. Thread-safe.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> ValueOf(const EnumTable<Enum, Size>& table,
                                      std::string_view name) {
  for (const std::pair<Enum, std::string_view>& row : table) {
    if (row.second == name) return row.first;
  }
  return std::nullopt;
}

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_ENUMTABLE_H_
