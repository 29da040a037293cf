#ifndef PARSLEYRING_ADMISSION_MEMORYBUDGET_H
#define PARSLEYRING_ADMISSION_MEMORYBUDGET_H

#include "parsleyring/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace parsleyring {

/// What reserved memory is used for.
enum class MemoryUse {
  Connection,  ///< Fixed cost of an open connection.
  RequestHead, ///< Head of a request, received or in progress.
  RequestBody, ///< Body of a request, received or in progress.
  Answer,      ///< Answer of an endpoint, until it is passed on.
  Output,      ///< Bytes that a caller has not read yet.
};
inline constexpr std::size_t MemoryUseCount = 5;
std::string_view name(MemoryUse Value);

class MemoryReservation;

/// Decides which requests may take memory. Requests, received or in progress,
/// share a part of the limit, so that they leave room for the answers. Within
/// that part, a client may hold as much as is still free (dynamic threshold),
/// and the last bytes are left to small requests.
class MemoryBudget {
public:
  /// LimitBytes is the memory for all uses together.
  explicit MemoryBudget(std::size_t LimitBytes);
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  std::size_t limit() const { return m_Limit; }
  /// The part of the limit that requests may take.
  std::size_t requestLimit() const;
  std::size_t used() const { return m_Used; }
  std::size_t used(MemoryUse Use) const;
  /// Number of clients that hold memory for requests.
  std::size_t clients() const { return m_RequestBytesByClient.size(); }

  /// The reservation of the request in receipt that stalled first and may be
  /// refused for one of Client that has no room: it belongs to Client too, or
  /// to a client that holds more. Null if there is none.
  MemoryReservation *stalledRequest(const std::string &Client, Time Now);
  /// True if little is left, so that output that callers do not read is not to
  /// grow.
  bool isTight() const;
  /// Handler is called after each release of memory; null for none.
  void onRelease(std::function<void()> Handler) {
    m_OnRelease = std::move(Handler);
  }
  /// True if much memory has been freed since the last call that returned true,
  /// so that the allocator should return it to the system.
  bool takeTrimRequest(Time Now);

  /// Part of the limit that requests, received or in progress, may take.
  static constexpr double RequestShare = 0.75;
  /// Part of the requests' memory that only small requests may take.
  static constexpr double SmallRequestShare = 0.125;
  static constexpr std::size_t SmallRequestBytes = 64 << 10;
  /// Part of the limit that is left to one answer at a time, the first that
  /// needs it, and to small ones: answers that all wait for room would
  /// otherwise hold it until their deadlines.
  static constexpr double FirstAnswerShare = 0.25;
  /// A request in receipt has stalled if fewer than ProgressBytes arrive within
  /// StallTime.
  static constexpr Duration StallTime = std::chrono::seconds(1);
  static constexpr std::size_t ProgressBytes = 16 << 10;

private:
  friend class MemoryReservation;

  static bool isRequestUse(MemoryUse Use);
  /// What all may use while an answer needs the part of FirstAnswerShare.
  std::size_t limitOfOthers() const;
  std::size_t requestBytes(const std::string &Client) const;
  bool mayGrow(const MemoryReservation &Reservation, std::size_t Bytes);
  bool mayAnswerGrow(const MemoryReservation &Reservation, std::size_t Bytes);
  void change(const MemoryReservation &Reservation, std::size_t Bytes);

  const std::size_t m_Limit;
  std::size_t m_Used = 0;
  std::size_t m_PeakSinceTrim = 0;
  Time m_TrimmedAt{};
  std::array<std::size_t, MemoryUseCount> m_UsedByUse{};
  std::map<std::string, std::size_t> m_RequestBytesByClient;
  /// In the order of their last progress, so that a search for stalled ones
  /// ends at the first one that has not stalled.
  std::list<MemoryReservation *> m_Receiving;
  /// Uses the part of FirstAnswerShare; null if no answer does.
  const MemoryReservation *m_FirstAnswer = nullptr;
  std::function<void()> m_OnRelease;
};

/// Memory that one request, answer or connection holds. Freed with the object.
class MemoryReservation {
public:
  MemoryReservation(MemoryBudget &Budget, MemoryUse Use, std::string Client);
  ~MemoryReservation();
  MemoryReservation(const MemoryReservation &) = delete;
  MemoryReservation &operator=(const MemoryReservation &) = delete;

  /// Changes the size if the budget allows it. Shrinking always succeeds.
  bool tryResize(std::size_t Bytes);
  /// Changes the size without regard to the limit, for memory that is in use
  /// already.
  void resize(std::size_t Bytes);
  /// Moves the reserved bytes to another client, such as the account of a key
  /// that has been read since.
  void setClient(const std::string &Client);
  const std::string &client() const { return m_Client; }
  std::size_t bytes() const { return m_Bytes; }

  /// From now until endReceipt(), the request may be refused if it stalls.
  /// OnRefused must free the memory.
  void beginReceipt(Time Now, std::function<void()> OnRefused);
  /// Records the bytes of the request received so far.
  void noteReceived(std::size_t Total, Time Now);
  void endReceipt();
  void refuse();

private:
  friend class MemoryBudget;

  /// Keeps the entries of the budget in the order of their progress.
  void setProgress(Time Now);

  MemoryBudget &m_Budget;
  const MemoryUse m_Use;
  std::string m_Client;
  std::size_t m_Bytes = 0;
  std::function<void()> m_OnRefused;
  /// Set while the request is received.
  std::optional<std::list<MemoryReservation *>::iterator> m_ReceivingEntry;
  std::size_t m_ProgressMark = 0; ///< Bytes received at m_ProgressAt.
  Time m_ProgressAt{};
};

} // namespace parsleyring

#endif // PARSLEYRING_ADMISSION_MEMORYBUDGET_H
