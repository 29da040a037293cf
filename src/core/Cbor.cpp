#include "core/Cbor.h"

namespace parsleyring {

using nlohmann::json;

// Messages between VMs have three levels.
static constexpr std::size_t MaxDepth = 16;

namespace {

/// Accepts values that json::from_cbor() reads in a bounded time and stack
/// space, and without an exception: it throws if a stated number of entries
/// exceeds what a container can hold, and calls itself for each level.
class CborLimits final : public json::json_sax_t {
public:
  explicit CborLimits(std::size_t MaxEntries) : m_MaxEntries(MaxEntries) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(std::size_t Entries) override { return enter(Entries); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t Entries) override { return enter(Entries); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const json::exception &) override {
    return false;
  }

private:
  bool enter(std::size_t Entries) {
    bool IsStated = Entries != std::size_t(-1);
    return ++m_Depth <= MaxDepth && (!IsStated || Entries <= m_MaxEntries);
  }
  bool leave() {
    --m_Depth;
    return true;
  }

  const std::size_t m_MaxEntries;
  std::size_t m_Depth = 0;
};

} // namespace

json parseCbor(const std::string &Bytes) {
  // An entry takes a byte at least.
  CborLimits Limits(Bytes.size());
  if (!json::sax_parse(Bytes, &Limits, json::input_format_t::cbor))
    return json(json::value_t::discarded);
  return json::from_cbor(Bytes, true, false);
}

} // namespace parsleyring
