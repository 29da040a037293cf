#include "gateway/StreamWait.h"

namespace parsleyring {

// True if the request cannot be sent before WaitUntil. One that has been sent
// waits all the same: it is lost if no other engine is listed in time.
bool StreamWait::isRestLongerThan(Time WaitUntil, bool HasRun) const {
  if (HasRun)
    return false;
  std::optional<Time> RestEnd = m_Planner.restEnd();
  return RestEnd && *RestEnd + LimitedWait::MaxQueueDelay > WaitUntil;
}

// A request that has been sent waits also if its credit is due too late: a
// chain inside one domain may become whole in time.
bool StreamWait::mayWaitForLinks(Time WaitUntil, bool HasRun) {
  return !m_Planner.links().isLimited() ||
         m_Planner.links().beginWait(WaitUntil) || HasRun;
}

// A full engine has capacity again as soon as one of its requests ends.
bool StreamWait::begin(std::string_view Reason, Conditions Wait) {
  Time Now = m_Context.now();
  Time WaitUntil = Wait.m_Until;
  m_LimitedWait = LimitedWait();
  if (m_Planner.isLimited() &&
      !m_LimitedWait.begin(m_Planner.limitedCapacity(), WaitUntil, Now))
    return false;
  if (isRestLongerThan(WaitUntil, Wait.m_HasRun) ||
      !mayWaitForLinks(WaitUntil, Wait.m_HasRun))
    return false;
  AdmissionQueue::WaitingRequest QueuedRequest;
  QueuedRequest.m_Account = m_Job.m_Account;
  QueuedRequest.m_Priority = Wait.m_Priority;
  QueuedRequest.m_Until = WaitUntil;
  QueuedRequest.m_TrySend = [this, Wait] {
    RequestNumber QueueNumber = m_QueueNumber;
    m_QueueNumber = 0;
    if (Wait.m_TrySend()) {
      recordWait();
      return true;
    }
    // A rest may have begun since the request waits.
    if (isRestLongerThan(Wait.m_Until, Wait.m_HasRun)) {
      recordWait();
      Wait.m_EndUnanswered();
      return true;
    }
    m_QueueNumber = QueueNumber;
    return false;
  };
  QueuedRequest.m_OnDropped = [this, Wait] {
    m_QueueNumber = 0;
    recordWait();
    Wait.m_EndUnanswered();
  };
  m_WaitingSince = Now;
  m_QueueNumber = m_Context.admissionQueue(m_Job.m_Service->m_Name)
                      .add(Now, std::move(QueuedRequest));
  if (m_QueueNumber == 0) {
    m_Planner.links().endWait();
    return false;
  }
  m_Context.log().write(
      Now, "request-waits", m_Job.m_Id,
      {{"reason", Reason},
       {"at_most_ms", std::int64_t((WaitUntil - Now).count() / 1000)}});
  return true;
}

void StreamWait::end() {
  if (m_QueueNumber == 0)
    return;
  recordWait();
  m_Context.admissionQueue(m_Job.m_Service->m_Name).remove(m_QueueNumber);
}

void StreamWait::recordWait() {
  m_QueuedTime += m_Context.now() - m_WaitingSince;
  m_WaitingSince = Time{};
  m_Planner.links().endWait();
}

} // namespace parsleyring
