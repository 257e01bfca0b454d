// Limits and time-outs of one machine's questions to the placement advisor,
// which answers the questions of a machine one at a time, in turn. Pure state:
// does no I/O and reads no clock.
#ifndef BASILUSHER_SCHEDULE_ADVICEWINDOW_H_
#define BASILUSHER_SCHEDULE_ADVICEWINDOW_H_

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// The load that it answers: more questions at once than the advisor can answer
/// in time. Questions beyond the window wait at the owner, where the most
/// urgent one goes next and none is given up for its turn. A question that was
/// given up may still be worked off, and keeps the next ones late: then the
/// window shrinks to one question, and pauses and time-outs grow until answers
/// come in time. Not thread-safe.
class AdviceWindow {
 public:
  struct Question {
    TimePoint sent_at{};
    /// Time that the advisor takes for the answer by its policy.
    Millis answer_time{0};
    /// An answer that has not arrived after this time is given up.
    Millis timeout{0};
  };

  /// True if another question may be sent at `now`.
  bool MayAsk(TimePoint now) const;
  int InFlight() const { return in_flight_; }
  /// Questions in a row that were not answered.
  int Failures() const { return failures_; }

  /// A question is sent at `now`. Precondition: MayAsk(now).
  Question Begin(TimePoint now, Millis answer_time);
  /// The question was answered, or has failed, at `now`.
  void End(const Question& question, TimePoint now, bool answered);

 private:
  int in_flight_ = 0;
  /// Questions that may be in flight.
  int limit_ = 2;
  int failures_ = 0;
  /// No question is sent before this time, after a failed one.
  TimePoint not_before_{};
  /// When the answers to the questions in flight are due by the policy.
  TimePoint due_at_{};
  TimePoint last_answer_at_{};
  /// How many times as long as by its policy the advisor may take.
  double stretch_ = 2;
};

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_ADVICEWINDOW_H_
