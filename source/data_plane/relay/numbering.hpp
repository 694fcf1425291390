#pragma once

#include <cstdint>
#include <optional>

namespace finchlink::data_plane {

/// Tracks which events of a stream the caller has and by which step their numbers rise, to detect a gap or a duplicate
/// when another worker resumes the stream (section 13.8). A segment is the run of events that one worker sends. Where
/// numbers rise unevenly no gap can be detected, and every number that rises is accepted.
class EventNumbering {
 public:
  /// What to do with an event: pass it on, drop it as one that the caller has already, or stop, because an event
  /// before it is missing.
  enum class Verdict { pass, duplicate, gap };

  EventNumbering() = default;
  /// `last`: the number of the last event that the caller had already when it asked; none: it asks from the start.
  explicit EventNumbering(std::optional<std::uint64_t> last) : last_(last) {}

  /// A worker begins to send events: the first one, or one that resumes the stream.
  void begin_segment() {
    at_segment_start_ = true;
    segment_last_.reset();
  }
  /// Classifies a complete event by its number; an event classified as `pass` counts as passed on.
  Verdict classify(std::uint64_t number) {
    segment_last_ = number;
    if (last_.has_value() && number <= *last_) {
      return Verdict::duplicate;
    }
    std::uint64_t const step = last_.has_value() ? number - *last_ : 0;
    if (at_segment_start_ && any_passed_ && steps_equal_ && step_ > 0 && step > step_) {
      return Verdict::gap;
    }
    if (!any_passed_) {
      // A single event shows the step only if it is the very next one: number 0 or 1, or one behind `last_`.
      step_ = last_.has_value() ? (step == 1 ? 1 : 0) : (number <= 1 ? 1 : 0);
    } else if (!at_segment_start_) {
      steps_equal_ = steps_equal_ && (!step_seen_ || step == step_);
      step_ = step;
      step_seen_ = true;
    }
    any_passed_ = true;
    at_segment_start_ = false;
    last_ = number;
    unnumbered_ = false;
    return Verdict::pass;
  }
  /// Classifies an event that carries data and no number; an event classified as `pass` counts as passed on.
  Verdict classify_unnumbered() {
    if (segment_last_.has_value() && last_.has_value() && *segment_last_ < *last_) {
      return Verdict::duplicate;  // it lies between events that the caller has
    }
    unnumbered_ = true;
    return Verdict::pass;
  }
  /// Whether a worker can be told where to resume: no event without a number followed the last numbered one.
  [[nodiscard]] bool position_known() const { return !unnumbered_; }
  /// The number of the last event that the caller has; none: it has no event with a number.
  [[nodiscard]] std::optional<std::uint64_t> last() const { return last_; }

 private:
  std::optional<std::uint64_t> last_;
  std::optional<std::uint64_t> segment_last_;  ///< the last number in the current segment
  bool unnumbered_ = false;                    ///< the last event with data had no number
  std::uint64_t step_ = 0;                     ///< by which numbers rise; 0: not known yet
  bool steps_equal_ = true;                    ///< all steps seen were equal
  bool step_seen_ = false;                     ///< two events of one segment were seen
  bool any_passed_ = false;                    ///< a numbered event was passed on
  bool at_segment_start_ = true;               ///< the next event is the first that this segment adds
};

}  // namespace finchlink::data_plane
