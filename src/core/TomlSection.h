#ifndef PARSLEYRING_CORE_TOMLSECTION_H
#define PARSLEYRING_CORE_TOMLSECTION_H

#include "parsleyring/Types.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyring {

enum class Presence { Required, Optional };

/// A TOML table that is read key by key. Errors become findings with file, line
/// and dotted key. Keys that are read count as known; reportUnknownKeys()
/// reports all others. Hides toml++, which is slow to compile.
class TomlSection {
public:
  /// The read functions return true if a valid value was read, and leave Value
  /// unchanged if the key is absent or invalid.
  bool readString(std::string_view Key, std::string &Value,
                  Presence KeyPresence = Presence::Optional);
  /// Accepts one string or an array of strings.
  bool readStrings(std::string_view Key, std::vector<std::string> &Values,
                   Presence KeyPresence = Presence::Optional);
  bool readBoolean(std::string_view Key, bool &Value);
  /// Accepts integers as well.
  bool readNumber(std::string_view Key, double &Value);
  template <typename Integer>
  bool readInteger(std::string_view Key, Integer &Value,
                   std::int64_t Min = std::numeric_limits<Integer>::min(),
                   std::int64_t Max = std::numeric_limits<Integer>::max(),
                   Presence KeyPresence = Presence::Optional) {
    std::optional<std::int64_t> Read = integer(Key, Min, Max, KeyPresence);
    if (Read)
      Value = static_cast<Integer>(*Read);
    return Read.has_value();
  }

  /// The table at Key. An absent table is treated as empty, so that its
  /// required keys are reported as missing.
  TomlSection section(std::string_view Key);
  /// The tables of the array of tables at Key; empty if absent.
  std::vector<TomlSection> sections(std::string_view Key);

  bool has(std::string_view Key) const;
  /// Line of the key, or of this table if the key is absent.
  int line(std::string_view Key) const;
  /// Adds a finding about a key of this table, or about the table itself if
  /// the key is empty.
  void report(std::string_view Key, const std::string &Message);
  /// Reports as unknown the keys that none of the functions above has read.
  void reportUnknownKeys();

private:
  friend class TomlText;
  struct Context;

  std::optional<std::int64_t> integer(std::string_view Key, std::int64_t Min,
                                      std::int64_t Max, Presence KeyPresence);
  /// The toml++ node; null if absent, with a finding if it is required.
  const void *find(std::string_view Key, Presence KeyPresence);
  std::string path(std::string_view Key) const;

  const Context *m_Context = nullptr;
  const void *m_Table = nullptr; ///< Null if the table is absent.
  std::string m_Path;
  std::vector<std::string_view> m_KnownKeys; ///< Views of string literals.
};

/// Parsed TOML text.
class TomlText {
public:
  /// A syntax error becomes a finding, and root() is then empty. Findings and
  /// this object must outlive the sections.
  TomlText(const std::string &File, std::string_view Text,
           std::vector<Finding> &Findings);
  ~TomlText();

  TomlSection root() const;
  bool isParsed() const;
  /// Line of the deepest existing node on a dotted path such as
  /// "pool[2].endpoint[0].slots"; 0 if there is none.
  int line(std::string_view Path) const;

private:
  struct Parsed;
  std::unique_ptr<Parsed> m_Parsed;
};

} // namespace parsleyring

#endif // PARSLEYRING_CORE_TOMLSECTION_H
