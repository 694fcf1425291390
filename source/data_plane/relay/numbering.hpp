#pragma once

#include <cstdint>
#include <optional>

namespace finchlink::data_plane {

/// Which events of a stream the caller has, and how their numbers rise, so that a
/// gap at a worker that takes the stream up can be told (section 13.8). Where
/// numbers rise unevenly nothing can be told, and any that rise are taken.
class EventNumbering {
 public:
  enum class Verdict { pass, known, gap };

  EventNumbering() = default;
  explicit EventNumbering(std::optional<std::uint64_t> last) : last_(last) {}

  /// A worker begins to answer, the first one or one that takes the stream up.
  void begin_run() {
    joint_ = true;
    run_at_.reset();
  }
  /// The number of an event that is whole; `pass` counts it as passed on.
  Verdict judge(std::uint64_t number) {
    run_at_ = number;
    if (last_.has_value() && number <= *last_) {
      return Verdict::known;
    }
    std::uint64_t const rise = last_.has_value() ? number - *last_ : 0;
    if (joint_ && began_ && even_ && step_ > 0 && rise > step_) {
      return Verdict::gap;
    }
    if (!began_) {
      // One event alone tells only where it is the very next one.
      step_ = last_.has_value() ? (rise == 1 ? 1 : 0) : (number <= 1 ? 1 : 0);
    } else if (!joint_) {
      even_ = even_ && (!risen_ || rise == step_);
      step_ = rise;
      risen_ = true;
    }
    began_ = true;
    joint_ = false;
    last_ = number;
    unnumbered_ = false;
    return Verdict::pass;
  }
  /// An event that carries data and no number; `pass` counts it as passed on.
  Verdict judge_unnumbered() {
    if (run_at_.has_value() && last_.has_value() && *run_at_ < *last_) {
      return Verdict::known;  // it stands between events that the caller has
    }
    unnumbered_ = true;
    return Verdict::pass;
  }
  /// A worker can be told what the caller has: no event without a number came behind the last one with a number.
  [[nodiscard]] bool position_known() const { return !unnumbered_; }
  /// The last event that the caller has; nothing: none that has a number.
  [[nodiscard]] std::optional<std::uint64_t> last() const { return last_; }

 private:
  std::optional<std::uint64_t> last_;
  std::optional<std::uint64_t> run_at_;  ///< the last number of the worker that answers
  bool unnumbered_ = false;              ///< the last event with data had no number
  std::uint64_t step_ = 0;               ///< by which numbers rise; 0: not known yet
  bool even_ = true;                     ///< all rises seen were alike
  bool risen_ = false;                   ///< two events of one run were seen
  bool began_ = false;                   ///< an event was passed on
  bool joint_ = true;                    ///< the next event is the first that this worker adds
};

}  // namespace finchlink::data_plane
