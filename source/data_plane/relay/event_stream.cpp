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
  numbering_.begin_run();
  return read_events(reading);
}

scheduling::Outcome Relay::read_events(Reading& reading) {
  Parser& parser = *reading.parser;
  scheduling::Sighting& sighting = reading.sighting;
  common::Moment const sent = reading.sent;
  std::string bytes;
  bool ended = false;
  while (!parser.is_done()) {
    if (!read_some(reading.buffer, parser, bytes)) {
      after_ = scheduling::WorkerFailure{"cut_stream"};
      return scheduling::Outcome::failure;
    }
    setting_aside_ = false;  // bytes were there first
    EventCutter::Whole const whole = reading.cutter.feed(bytes, numbering_);
    if (whole.gap) {  // nothing of it was passed on: another may do better
      after_ = scheduling::WorkerFailure{"gap"};
      return scheduling::Outcome::failure;
    }
    if (parser.is_done() && (!reading.cutter.rest().empty() || !ended_whole(parser))) {
      after_ = scheduling::WorkerFailure{"cut_event"};
      return scheduling::Outcome::failure;
    }
    if (whole.count == 0 && whole.bytes.empty()) {
      continue;
    }
    common::Moment const now = common::boot_now();
    station_.balancer().heard(assignment_.worker, now);
    sighting.event(whole.count, now);
    if (first_at_ == 0) {
      first_at_ = now;
    }
    if (reading.first) {
      reading.first = false;
      first_seen_ = true;
      aside_.reset();  // this one goes on
      station_.balancer().first_token(assignment_, kept_parts(), static_cast<double>(now - sent) / 1e6);
    }
    expect_bytes(pause_set_point_ms(), now);
    std::string text;
    if (!began_) {
      began_ = true;
      text = answer_head(parser) + "Transfer-Encoding: chunked\r\n" + closing_line() + "\r\n";
    }
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", whole.bytes.size());
    text.append(size).append(whole.bytes).append("\r\n");
    // The chart counts what was passed on, whatever the worker's numbers are.
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
  if (!ended) {  // the end came by itself, behind the last event
    (void)write("0\r\n\r\n");
  }
  feed(scheduling::StreamEnded{});
  after_answer(reading.buffer, parser);
  if (!reading.resumed) {
    station_.saw(std::move(sighting), assignment_, wanted_);
  }
  return scheduling::Outcome::good;
}

}  // namespace finchlink::data_plane
