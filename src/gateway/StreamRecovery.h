#ifndef PARSLEYRING_GATEWAY_STREAMRECOVERY_H
#define PARSLEYRING_GATEWAY_STREAMRECOVERY_H

#include "gateway/ForwardContext.h"
#include "gateway/StreamAttempt.h"
#include "gateway/StreamPlanner.h"

#include <memory>
#include <optional>
#include <string_view>

namespace parsleyring {

/// A running stream whose current attempt may be moved to another path.
class RecoverableStream {
public:
  virtual ~RecoverableStream() = default;
  virtual bool hasEnded() const = 0;
  /// The current attempt; null if there is none.
  virtual const std::shared_ptr<StreamAttempt> &attempt() const = 0;
  /// Sends the request on a new path and leaves the current attempt open.
  /// Returns false if that is not possible; the attempt then stays current.
  virtual bool moveElsewhere(std::string_view Reason) = 0;
  /// Closes the current attempt and sends the request on a new path, goes on
  /// with a silent attempt, or queues the request; else ends the request.
  virtual void retryElsewhere(std::string_view Reason) = 0;
  /// The attempt has not run, or its engine is gone.
  virtual void uncount(StreamAttempt &Attempt) = 0;
  /// Keeps the stream, and with it its recovery, during a call.
  virtual std::shared_ptr<RecoverableStream> self() = 0;
};

/// Finds out why the current attempt of a stream is silent, and replaces the
/// parts of its path that fail.
class StreamRecovery {
public:
  /// The arguments must outlive this object.
  StreamRecovery(ForwardContext &Context, const ForwardJob &Job,
                 RecoverableStream &Stream, StreamPlanner &Planner,
                 StreamProgress &Progress)
      : m_Context(Context), m_Job(Job), m_Stream(Stream), m_Planner(Planner),
        m_Progress(Progress) {}

  void checkSilence(Time Now);
  void handleSuspect(const FleetTable::Handle &Endpoint);

  /// How long an endpoint that refused a connection or did not answer gets no
  /// new requests. The entry of a dead endpoint expires after about the same
  /// time.
  static constexpr Duration UnresponsiveTime = std::chrono::seconds(4);

private:
  StreamAttempt &attempt() const { return *m_Stream.attempt(); }
  void checkPaces(Duration Silence);
  Duration silenceLimit() const;
  void handleReport(const std::optional<EngineReport> &Report);
  bool hasSuspectPart(Time Now) const;
  void replaceParts();
  void handleRepath(unsigned Status, const LayerPath &Path);

  ForwardContext &m_Context;
  const ForwardJob &m_Job;
  RecoverableStream &m_Stream;
  StreamPlanner &m_Planner;
  StreamProgress &m_Progress;
};

} // namespace parsleyring

#endif // PARSLEYRING_GATEWAY_STREAMRECOVERY_H
