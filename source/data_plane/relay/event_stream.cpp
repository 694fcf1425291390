// Relay: an answer that is a stream of events.
#include "data_plane/relay/relay.hpp"

#include <cstdio>

#include "common/relay_constants.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;

scheduling::Outcome Relay::talk_events(Reading& reading) {
  reading.sighting.sent = reading.sent;
  reading.resumed = state_machine_.last_event() > 0;
  station_.tally().resumed += reading.resumed ? 1 : 0;
  numbering_.begin_segment();
  return read_events(reading);
}

scheduling::Outcome Relay::read_events(Reading& reading) {
  Parser& parser = *reading.parser;
  scheduling::StreamObservation& sighting = reading.sighting;
  common::Moment const sent = reading.sent;
  std::string bytes;
  bool ended = false;
  while (!parser.is_done()) {
    if (!read_some(reading.buffer, parser, bytes)) {
      after_ = scheduling::WorkerFailure{"cut_stream"};
      return scheduling::Outcome::failure;
    }
    setting_aside_ = false;  // bytes arrived before the read was cancelled
    EventCutter::CompleteEvents const complete = reading.cutter.feed(bytes, numbering_);
    if (complete.gap) {  // nothing behind the gap was passed on: another worker may have the missing events
      after_ = scheduling::WorkerFailure{"gap"};
      return scheduling::Outcome::failure;
    }
    if (parser.is_done() && (!reading.cutter.incomplete().empty() || !ended_whole(parser))) {
      after_ = scheduling::WorkerFailure{"cut_event"};
      return scheduling::Outcome::failure;
    }
    if (complete.count == 0 && complete.bytes.empty()) {
      continue;
    }
    common::Moment const now = common::boot_now();
    station_.balancer().heard(assignment_.worker, now);
    sighting.record_events(complete.count, now);
    if (first_at_ == 0) {
      first_at_ = now;
    }
    if (reading.first) {
      reading.first = false;
      first_seen_ = true;
      aside_.reset();  // this worker continues the stream: the one set aside is no longer needed
      station_.balancer().first_token(assignment_, kept_parts(), static_cast<double>(now - sent) / 1e6);
    }
    expect_bytes(pause_set_point_ms(), now);
    std::string text;
    if (!began_) {
      began_ = true;
      text = answer_head(parser) + "Transfer-Encoding: chunked\r\n" + closing_line() + "\r\n";
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
      after_ = scheduling::CallerGone{};
      return scheduling::Outcome::abandoned;
    }
  }
  if (!began_) {
    after_ = scheduling::WorkerFailure{"no_event"};
    return scheduling::Outcome::failure;
  }
  if (!ended) {  // the end of the body came separately, after the last event
    (void)write("0\r\n\r\n");
  }
  feed(scheduling::StreamEnded{});
  after_answer(reading.buffer, parser);
  if (!reading.resumed) {
    station_.saw(std::move(sighting), assignment_, wanted_);
  }
  return scheduling::Outcome::success;
}

}  // namespace finchlink::data_plane
