// Relay: an answer that is a stream of events.
#include "data_plane/relay/relay.hpp"

#include <cstdio>

#include "common/admission/admission_constants.hpp"
#include "common/constants.hpp"
#include "common/relay_constants.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;

scheduling::Outcome Relay::relay_event_stream(Reading& reading) {
  reading.sighting.sent = reading.sent;
  reading.resumed = state_machine_.last_event() > 0;
  server_.counters().resumed += reading.resumed ? 1 : 0;
  numbering_.begin_segment();
  return read_events(reading);
}

bool Relay::hold_event(std::size_t bytes) {
  // The text has up to twice the capacity, and is held twice while it moves.
  constexpr std::size_t copies = 3;
  bool const small = bytes <= constants::free_answer_bytes + constants::piece_bytes;
  return response_memory_.obtain(small ? 0 : copies * bytes, yield_);
}

scheduling::Outcome Relay::read_events(Reading& reading) {
  Parser& parser = *reading.parser;
  scheduling::StreamObservation& sighting = reading.sighting;
  common::Moment const sent = reading.sent;
  std::string bytes;
  bool ended = false;
  while (!parser.is_done()) {
    if (reading.cutter.incomplete().size() > constants::event_limit) {
      next_message_ = scheduling::WorkerFailure{"large_event"};
      return scheduling::Outcome::failure;
    }
    if (!read_some(reading.buffer, parser, bytes)) {
      next_message_ = scheduling::WorkerFailure{"cut_stream"};
      return scheduling::Outcome::failure;
    }
    setting_aside_ = false;  // bytes arrived before the read was cancelled
    if (!hold_event(reading.cutter.incomplete().size() + bytes.size())) {
      next_message_ = scheduling::WorkerFailure{"no_memory"};
      return scheduling::Outcome::failure;
    }
    EventCutter::CompleteEvents const complete = reading.cutter.feed(bytes, numbering_);
    if (complete.gap) {  // nothing behind the gap was passed on: another worker may have the missing events
      next_message_ = scheduling::WorkerFailure{"gap"};
      return scheduling::Outcome::failure;
    }
    if (parser.is_done() && (!reading.cutter.incomplete().empty() || !ended_cleanly(parser))) {
      next_message_ = scheduling::WorkerFailure{"cut_event"};
      return scheduling::Outcome::failure;
    }
    if (complete.count == 0 && complete.bytes.empty()) {
      continue;
    }
    common::Moment const now = common::boot_now();
    server_.balancer().heard(assignment_.worker, now);
    sighting.record_events(complete.count, now);
    if (first_output_at_ == 0) {
      first_output_at_ = now;
    }
    if (reading.first) {
      reading.first = false;
      first_output_seen_ = true;
      set_aside_.reset();  // this worker continues the stream: the one set aside is no longer needed
      server_.balancer().first_token(assignment_, cached_parts(), static_cast<double>(now - sent) / 1e6);
    }
    arm_stall_detector(event_gap_set_point_ms(), now);
    std::string text;
    if (!head_written_) {
      head_written_ = true;
      text = response_head(parser) + "Transfer-Encoding: chunked\r\n" + connection_header() + "\r\n";
    }
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", complete.bytes.size());
    text.append(size).append(complete.bytes).append("\r\n");
    // The query state machine counts the events passed on, whatever numbers the worker gave them.
    feed(scheduling::Event{state_machine_.last_event() + 1, false, numbering_.position_known()});
    if (parser.is_done()) {
      ended = true;
      text.append("0\r\n\r\n");
    }
    if (!write(text)) {
      next_message_ = scheduling::CallerGone{};
      return scheduling::Outcome::abandoned;
    }
  }
  if (!head_written_) {
    next_message_ = scheduling::WorkerFailure{"no_event"};
    return scheduling::Outcome::failure;
  }
  if (!ended) {  // the end of the body came separately, after the last event
    (void)write("0\r\n\r\n");
  }
  feed(scheduling::StreamEnded{});
  keep_worker_if_reusable(reading.buffer, parser);
  if (!reading.resumed) {
    server_.record_observation(std::move(sighting), assignment_, placement_request_);
  }
  return scheduling::Outcome::success;
}

}  // namespace finchlink::data_plane
