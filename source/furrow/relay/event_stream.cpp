#include "furrow/relay/relay.hpp"

#include <cstdio>

#include "loam/relay_constants.hpp"

namespace finchlink::furrow {

namespace asio = boost::asio;
namespace constants = loam::constants;

tilth::Outcome Relay::talk_events(Reading& reading) {
  reading.sighting.sent = reading.sent;
  reading.resumed = chart_.last_event() > 0;
  station_.tally().resumed += reading.resumed ? 1 : 0;
  numbering_.begin_run();
  return read_events(reading);
}

tilth::Outcome Relay::read_events(Reading& reading) {
  Parser& parser = *reading.parser;
  tilth::Sighting& sighting = reading.sighting;
  loam::Moment const sent = reading.sent;
  std::string bytes;
  bool ended = false;
  while (!parser.is_done()) {
    if (!read_some(reading.buffer, parser, bytes)) {
      after_ = tilth::WorkerDefect{"cut_stream"};
      return tilth::Outcome::defect;
    }
    setting_aside_ = false;  // bytes were there first
    EventCutter::Whole const whole = reading.cutter.feed(bytes, numbering_);
    if (whole.gap) {  // nothing of it was passed on: another may do better
      after_ = tilth::WorkerDefect{"gap"};
      return tilth::Outcome::defect;
    }
    if (parser.is_done() && (!reading.cutter.rest().empty() || !ended_whole(parser))) {
      after_ = tilth::WorkerDefect{"cut_event"};
      return tilth::Outcome::defect;
    }
    if (whole.count == 0 && whole.bytes.empty()) {
      continue;
    }
    loam::Moment const now = loam::boot_now();
    station_.grove().heard(spot_.worker, now);
    sighting.event(whole.count, now);
    if (first_at_ == 0) {
      first_at_ = now;
    }
    if (reading.first) {
      reading.first = false;
      first_seen_ = true;
      aside_.reset();  // this one goes on
      station_.grove().first_token(spot_, kept_parts(), static_cast<double>(now - sent) / 1e6);
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
    feed(tilth::Event{chart_.last_event() + 1, false, numbering_.position_known()});
    if (parser.is_done()) {
      ended = true;
      text.append("0\r\n\r\n");
    }
    if (!write(text)) {
      after_ = tilth::CallerGone{};
      return tilth::Outcome::abandoned;
    }
  }
  if (!began_) {
    after_ = tilth::WorkerDefect{"no_event"};
    return tilth::Outcome::defect;
  }
  if (!ended) {  // the end came by itself, behind the last event
    (void)write("0\r\n\r\n");
  }
  feed(tilth::StreamEnded{});
  after_answer(reading.buffer, parser);
  if (!reading.resumed) {
    station_.saw(std::move(sighting), spot_, wanted_);
  }
  return tilth::Outcome::good;
}

}  // namespace finchlink::furrow
