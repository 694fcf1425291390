#include "simulator/kernel/kernel.hpp"

#include <cmath>
#include <cstdio>

namespace finchlink::simulator {

void Kernel::at(common::Moment moment, std::function<void()> event) {
  queue_.push(Entry{std::max(moment, now_), sequence_++, std::move(event)});
}

void Kernel::run(common::Moment until, std::function<void()> const& after_event) {
  while (!queue_.empty() && queue_.top().moment <= until) {
    Entry entry = queue_.top();
    queue_.pop();
    now_ = entry.moment;
    ++events_;
    entry.event();
    if (after_event) {
      after_event();
    }
  }
  now_ = until;
}

double Kernel::exponential(double mean) {
  return -mean * std::log(1.0 - uniform());
}

void Kernel::trace(std::string const& text) {
  std::string const line = std::to_string(now_) + " " + text;
  for (char const character : line) {
    hash_ = (hash_ ^ static_cast<unsigned char>(character)) * 1099511628211u;
  }
  if (print_) {
    std::printf("%s\n", line.c_str());
  }
}

}  // namespace finchlink::simulator
