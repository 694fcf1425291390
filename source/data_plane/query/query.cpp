#include "data_plane/query/query.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>

#include "common/constants.hpp"
#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "common/random/random.hpp"
#include "config/label/selector.hpp"
#include "data_plane/query/reply.hpp"
#include "data_plane/worker/contract.hpp"
#include "scheduling/fit/fit.hpp"
#include "scheduling/query_state/query_state_machine.hpp"

namespace finchlink::data_plane {

namespace asio = boost::asio;
namespace constants = common::constants;
namespace http = common::http;
using boost::system::error_code;

namespace {

/// What can end a query from outside: its caller going away, its deadline. It
/// lives on the query's strand and outlives it as long as a handler needs.
struct Interrupt {
  bool over = false;
  bool gone = false;
  bool late = false;
  std::function<void()> wake;
  [[nodiscard]] bool set() const { return gone || late; }
};

void watch_caller(std::shared_ptr<Interrupt> const& interrupt, common::Stream& caller) {
  caller.socket().async_wait(asio::ip::tcp::socket::wait_read, [interrupt, &caller](error_code const& error) {
    if (interrupt->over || error) {
      return;
    }
    char byte = 0;
    ssize_t const count = recv(caller.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
      return;  // the next query is there already; the caller is not gone
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      watch_caller(interrupt, caller);
      return;
    }
    interrupt->gone = true;
    if (interrupt->wake) {
      interrupt->wake();
    }
  });
}

class Query {
 public:
  Query(ProxyState& field, std::shared_ptr<Plan const> plan, QueryFacts facts, common::Stream& caller,
        common::Yield yield)
      : field_(field),
        plan_(std::move(plan)),
        facts_(std::move(facts)),
        caller_(caller),
        yield_(yield),
        interrupt_(std::make_shared<Interrupt>()),
        began_(common::boot_now()),
        serve_(facts_.serve),
        rule_(plan_->setup.rules.at(serve_.rule)),
        deadline_(began_ + common::milliseconds(static_cast<std::int64_t>(rule_.deadline_ms))),
        state_machine_(terms(), [this](common::Moment now) { return field_.retry(serve_.rule, now); }) {}

  bool run(bool pipelined) {
    if (!facts_.passed) {
      field_.arrived(serve_.rule, began_);
    }
    std::shared_ptr<asio::steady_timer> const timer =
        std::make_shared<asio::steady_timer>(yield_.get_executor(), common::duration(deadline_ - began_));
    timer->async_wait([interrupt = interrupt_, timer](error_code const& error) {
      if (!error && !interrupt->over) {
        interrupt->late = true;
        if (interrupt->wake) {
          interrupt->wake();
        }
      }
    });
    caller_.expires_never();
    if (!pipelined) {
      watch_caller(interrupt_, caller_);
    }
    schema::WorkerBounds const& bounds = plan_->setup.workers;
    tokens_ = std::max(1.0, static_cast<double>(facts_.body.size()) / bounds.bytes_per_token);
    chain_ = scheduling::block_hashes(
        facts_.body, static_cast<std::size_t>(static_cast<double>(bounds.block_tokens) * bounds.bytes_per_token));
    perform(state_machine_.begin());
    while (!state_machine_.settled()) {
      if (interrupt_->gone) {
        feed(scheduling::CallerGone{});
      } else if (interrupt_->late) {
        feed(scheduling::DeadlinePassed{});
      } else if (pass_next_) {
        pass_next_ = false;
        pass_on();
      } else if (place_next_) {
        place_next_ = false;
        dispatch();
      } else {
        feed(scheduling::WorkerFailure{"internal"});  // no state of the chart leads here
        break;
      }
    }
    interrupt_->over = true;
    timer->cancel();
    error_code ignored;
    caller_.socket().cancel(ignored);
    std::string const how = std::holds_alternative<scheduling::Settled>(state_machine_.state())
                                ? std::get<scheduling::Settled>(state_machine_.state()).how
                                : "open";
    field_.metrics().count("furrow_queries_total", "rule=\"" + serve_.rule + "\",outcome=\"" + how + "\"");
    if (how == "complete") {
      field_.metrics().observe("furrow_query_seconds", "rule=\"" + serve_.rule + "\"",
                               static_cast<double>(common::boot_now() - began_) / 1e6);
    }
    return keep_;
  }

 private:
  [[nodiscard]] scheduling::QueryTerms terms() const {
    scheduling::QueryTerms terms;
    terms.repeatable = rule_.repeatable;
    terms.resumable = rule_.resumable;
    terms.stream = rule_.stream;
    terms.may_forward = !facts_.passed;
    terms.max_dispatches = constants::dispatches_most;
    return terms;
  }

  /// Section 9.7: what was decided by an earlier plan is decided anew by the
  /// one in force. True: what it may do or where it may go is another now.
  bool follow_plan() {
    scheduling::QueryConfig footing{plan_, serve_, rule_, home_};
    scheduling::RequestHead const header{
        std::string(facts_.header.method_string()), facts_.target.substr(0, facts_.target.find('?')),
        [this](std::string const& name) { return std::string(facts_.header[name]); }, facts_.body.size()};
    scheduling::Reevaluation const followed = scheduling::reevaluate(footing, field_.plan(), header);
    plan_ = footing.plan;
    serve_ = footing.serve;
    rule_ = footing.rule;
    home_ = footing.home;
    if (followed.decided.has_value()) {
      feed(*followed.decided);
    }
    return followed.changed;
  }

  void feed(scheduling::QueryMessage const& message) { perform(state_machine_.advance(message, common::boot_now())); }

  void perform(std::vector<scheduling::QueryAction> const& actions) {
    for (scheduling::QueryAction const& action : actions) {
      std::visit([this](auto const& entry) { act(entry); }, action);
    }
  }

  void act(scheduling::Place const& place) {
    place_next_ = true;
    if (place.again) {
      field_.metrics().count("furrow_retries_total", "rule=\"" + serve_.rule + "\"");
    }
  }
  void act(scheduling::ForwardToRegion const&) { pass_next_ = true; }
  void act(scheduling::RedirectHome const&) {
    common::Answer answer = send_home(*plan_, home_, facts_.id, facts_.target);
    write_answer(answer);
  }
  void act(scheduling::SendEvent const&) { write_event(); }
  void act(scheduling::SendResponse const&) { write_answer(whole_); }
  void act(scheduling::RejectQuery const& refuse) {
    common::Answer answer = refusal(facts_.id, refuse.reason, expected_seconds_);
    write_answer(answer);
  }
  void act(scheduling::FailUncertain const& apologise) {
    common::Answer answer = apology(facts_.id, apologise.status, apologise.reason, apologise.may_have_run);
    write_answer(answer);
  }
  void act(scheduling::EndWithError const& broken) {
    common::note(common::Event::QueryCut, facts_.id + " " + broken.reason);
    common::Tree object(cJSON_CreateObject());
    cJSON_AddStringToObject(object.get(), "error", broken.reason.c_str());
    cJSON_AddStringToObject(object.get(), "query", facts_.id.c_str());
    cJSON_AddBoolToObject(object.get(), "may_have_run", 1);
    // An error event, and no closing chunk: nobody can take this for whole.
    std::string const text = "event: error\ndata: " + common::print_tree(object.get()) + "\n\n";
    (void)write_chunk(text);
    keep_ = false;
  }
  void act(scheduling::CancelDispatch const&) { keep_ = false; }

  void write_answer(common::Answer& answer) {
    error_code error;
    answer.set(query_header, facts_.id);
    answer.keep_alive(facts_.keep);
    answer.prepare_payload();
    caller_.expires_after(common::duration(constants::write_deadline));
    http::async_write(caller_, answer, yield_[error]);
    caller_.expires_never();
    keep_ = facts_.keep && !error;
  }

  bool write_chunk(std::string const& text) {
    error_code error;
    caller_.expires_after(common::duration(constants::write_deadline));
    asio::async_write(caller_, http::make_chunk(asio::buffer(text)), yield_[error]);
    caller_.expires_never();
    return !error;
  }

  void write_event() {
    error_code error;
    if (!header_sent_) {
      header_sent_ = true;
      field_.metrics().observe("furrow_first_event_seconds", "rule=\"" + serve_.rule + "\"",
                               static_cast<double>(common::boot_now() - began_) / 1e6);
      http::response<http::empty_body> header{http::status::ok, 11};
      header.set(http::field::content_type, "text/event-stream");
      header.set(http::field::cache_control, "no-store");
      header.set(query_header, facts_.id);
      header.keep_alive(facts_.keep);
      header.chunked(true);
      http::response_serializer<http::empty_body> serializer(header);
      caller_.expires_after(common::duration(constants::write_deadline));
      http::async_write_header(caller_, serializer, yield_[error]);
    }
    std::string const text = "id: " + std::to_string(event_.number) +
                             "\nevent: " + (event_.last ? "complete" : "token") + "\ndata: " + event_.raw + "\n\n";
    bool good = !error && write_chunk(text);
    if (good && event_.last) {
      caller_.expires_after(common::duration(constants::write_deadline));
      asio::async_write(caller_, http::make_chunk_last(), yield_[error]);
      caller_.expires_never();
      keep_ = facts_.keep && !error;
    }
    if (!good) {
      interrupt_->gone = true;
    }
  }

  /// Waits for a place; nothing when interrupted.
  std::optional<scheduling::PlacementAction> wait_for_place(std::uint64_t& ticket_id) {
    std::shared_ptr<Seat> const seat = std::make_shared<Seat>(yield_.get_executor());
    seat->timer.expires_at(std::chrono::steady_clock::time_point::max());
    ticket_id = field_.seat(seat);
    scheduling::Ticket ticket;
    ticket.id = ticket_id;
    ticket.rule = serve_.rule;
    ticket.allowed = scheduling::allowed_workers(*plan_, serve_.rule);
    ticket.chain = chain_;
    ticket.tokens = tokens_;
    ticket.outputs = field_.outputs(serve_.rule);
    ticket.phase =
        scheduling::preferred_phase(*plan_, rule_.kind, paired(), leg_ == Leg::decode, ticket.tokens, ticket.outputs);
    phase_ = ticket.phase;
    ticket.deadline = deadline_;
    ticket.begun = !kv_.empty();
    ticket.waitlist_bound = rule_.waitlist;
    field_.with(pool(),
                [&ticket](scheduling::Placement& placement) { return placement.enqueue(ticket, common::boot_now()); });
    interrupt_->wake = [seat] { seat->timer.cancel(); };
    bool stale = false;
    while (!seat->action.has_value() && !interrupt_->set() && !stale) {
      error_code error;
      seat->timer.async_wait(yield_[error]);
      stale = !seat->action.has_value() && !interrupt_->set() && follow_plan();
    }
    interrupt_->wake = nullptr;
    field_.leave(ticket_id);
    if (!seat->action.has_value()) {
      cancel_ticket(ticket_id);
    }
    place_next_ = place_next_ || (stale && !state_machine_.settled());
    return seat->action;
  }

  [[nodiscard]] std::string pool() const { return pool_of(rule_.kind); }

  /// What began in two legs ends so, whatever the manner is by now.
  [[nodiscard]] bool paired() const {
    return rule_.kind == "model" && (!kv_.empty() || plan_->setup.scaler.manner == "paired");
  }

  void cancel_ticket(std::uint64_t ticket) {
    field_.with(pool(),
                [ticket](scheduling::Placement& placement) { return placement.cancel(ticket, common::boot_now()); });
  }
  void finish_ticket(std::uint64_t ticket, scheduling::Ending ending) {
    field_.with(pool(), [ticket, ending](scheduling::Placement& placement) {
      return placement.finished(ticket, ending, common::boot_now());
    });
  }

  /// The place may not be used any more: what is wanted is brought in line
  /// first, so that the next place is another one, or none.
  bool withdrawn(std::uint64_t ticket) {
    // Asked again right before bytes go out: the wait may have been long, or
    // this machine frozen (sections 6.3 and 9.7).
    bool const changed = follow_plan();
    if (!changed && field_.may_dispatch(serve_.rule, go_.worker, common::boot_now())) {
      return false;
    }
    withdraw(ticket);
    return true;
  }
  void withdraw(std::uint64_t ticket) {
    finish_ticket(ticket, scheduling::Ending::abandoned);
    field_.reconcile();
    feed(scheduling::PlacementWithdrawn{});
  }

  void dispatch() {
    (void)follow_plan();
    if (state_machine_.settled()) {
      return;
    }
    if (paired() && kv_.empty()) {
      leg_ = Leg::prefill;
    } else if (paired()) {
      leg_ = Leg::decode;
    }
    std::uint64_t ticket = 0;
    std::optional<scheduling::PlacementAction> const place = wait_for_place(ticket);
    if (!place.has_value()) {
      return;
    }
    if (scheduling::Denied const* const denied = std::get_if<scheduling::Denied>(&*place)) {
      expected_seconds_ = denied->expected_seconds;
      if (denied->reason == "deadline") {
        feed(scheduling::DeadlinePassed{});
      } else {
        feed(scheduling::NoCapacity{});
      }
      return;
    }
    go_ = std::get<scheduling::DispatchQuery>(*place);
    feed(scheduling::Placed{go_.worker});
    if (withdrawn(ticket)) {
      return;
    }
    absl::StatusOr<std::unique_ptr<common::Stream>> connection =
        common::connect(field_.context(), go_.address, constants::connect_deadline, yield_);
    if (connection.ok() && !interrupt_->set() && withdrawn(ticket)) {
      return;
    }
    if (!connection.ok() || interrupt_->set()) {
      finish_ticket(ticket, connection.ok() ? scheduling::Ending::abandoned : scheduling::Ending::failure);
      if (!interrupt_->set()) {
        feed(scheduling::ConnectFailure{});
      }
      return;
    }
    common::Stream& worker = **connection;
    interrupt_->wake = [&worker] { worker.cancel(); };
    sent_ = common::boot_now();
    running_at_start_ = 0;
    field_.with(pool(), [this](scheduling::Placement& placement) {
      running_at_start_ = placement.running_on(go_.worker);
      return std::vector<scheduling::PlacementAction>{};
    });
    feed(scheduling::Connected{});
    field_.metrics().count("furrow_dispatches_total", "rule=\"" + serve_.rule + "\",worker=\"" + go_.worker + "\"");
    scheduling::Ending const ending = talk(worker, ticket);
    interrupt_->wake = nullptr;
    finish_ticket(ticket, ending);
    // What the talk ended with goes to the chart only now, so that a retry
    // finds this worker's place already freed or at rest.
    if (after_.has_value()) {
      scheduling::QueryMessage const message = *after_;
      after_.reset();
      if (!interrupt_->set()) {
        if (scheduling::WorkerFailure const* const failure = std::get_if<scheduling::WorkerFailure>(&message)) {
          common::note(common::Event::WorkerDefect, go_.worker + " " + failure->what + " " + facts_.id);
        }
        (void)follow_plan();  // whether it may run again is asked of the rule in force
        feed(message);
      }
    }
  }

  /// One dispatch on a connection of its own; what it ended with is left in
  /// after_.
  scheduling::Ending talk(common::Stream& worker, std::uint64_t ticket) {
    LegCall call;
    call.query = facts_.id;
    call.rule = serve_.rule;
    call.dispatch = state_machine_.dispatches();
    call.leg = leg_;
    call.kv = leg_ == Leg::decode ? kv_ : "";
    call.last_event = rule_.stream ? state_machine_.last_event() : 0;
    call.method = facts_.method;
    call.target = facts_.target;
    call.content_type = facts_.content_type;
    call.body = &facts_.body;
    common::Ask ask = worker_ask(call, go_.address);
    error_code error;
    worker.expires_after(common::duration(constants::write_deadline));
    http::async_write(worker, ask, yield_[error]);
    // Even when writing failed the worker may have answered already, with a
    // refusal for example; so reading is tried all the same.
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    parser.header_limit(constants::header_limit);
    worker.expires_after(common::duration(std::max<common::Span>(deadline_ - common::boot_now(), 1000)));
    http::async_read_header(worker, buffer, parser, yield_[error]);
    if (error) {
      after_ = scheduling::WorkerFailure{"no_answer"};
      return interrupt_->set() ? scheduling::Ending::abandoned : scheduling::Ending::failure;
    }
    if (says_not_run(parser.get().result_int())) {
      after_ = scheduling::WorkerRefused{};
      return scheduling::Ending::refused;
    }
    if (parser.get()[query_header] != facts_.id) {
      after_ = scheduling::WorkerFailure{"wrong_query"};
      return scheduling::Ending::failure;
    }
    unsigned int const status = parser.get().result_int();
    bool const events = parser.get()[http::field::content_type].starts_with("text/event-stream");
    if (status != 200 || !events) {
      return talk_whole(worker, buffer, parser);
    }
    return talk_events(worker, buffer, parser, ticket);
  }

  /// The next bytes of a worker's answer; empty at its end. False: cut.
  bool read_some(common::Stream& worker, boost::beast::flat_buffer& buffer,
                 http::response_parser<http::buffer_body>& parser, std::string& bytes) {
    char piece[16384];
    bytes.clear();
    if (parser.is_done()) {
      return true;
    }
    parser.get().body().data = piece;
    parser.get().body().size = sizeof(piece);
    worker.expires_after(common::duration(
        std::max<common::Span>(1000, std::min(constants::stream_silence, deadline_ - common::boot_now()))));
    error_code error;
    http::async_read_some(worker, buffer, parser, yield_[error]);
    if (error && error != http::error::need_buffer) {
      return false;
    }
    bytes.assign(piece, sizeof(piece) - parser.get().body().size);
    return true;
  }

  scheduling::Ending talk_whole(common::Stream& worker, boost::beast::flat_buffer& buffer,
                                http::response_parser<http::buffer_body>& parser) {
    std::string body;
    std::string bytes;
    unsigned int const status = parser.get().result_int();
    // Without a length or chunks an early end can't be told from the end.
    bool const delimited = parser.content_length().has_value() || parser.chunked();
    while (!parser.is_done()) {
      if (!delimited || !read_some(worker, buffer, parser, bytes) ||
          body.size() + bytes.size() > constants::answer_limit) {
        after_ = scheduling::WorkerFailure{"cut_answer"};
        return interrupt_->set() ? scheduling::Ending::abandoned : scheduling::Ending::failure;
      }
      body += bytes;
    }
    if (status >= 500) {
      after_ = scheduling::WorkerErrorResponse{502};
      return scheduling::Ending::success;
    }
    if (leg_ == Leg::prefill) {
      kv_ = std::string(parser.get()[kv_header]);
      if (status != 200 || kv_.empty()) {
        after_ = scheduling::WorkerFailure{"no_kv"};
        return scheduling::Ending::failure;
      }
      note_prefill();
      after_ = scheduling::PrefillDone{};
      return scheduling::Ending::success;
    }
    if (rule_.kind == "model" && status == 200) {
      after_ = scheduling::WorkerFailure{"no_stream"};
      return scheduling::Ending::failure;
    }
    whole_ = common::answer_text(static_cast<http::status>(status), std::move(body),
                                 std::string(parser.get()[http::field::content_type]));
    after_ = scheduling::WholeResponse{};
    return scheduling::Ending::success;
  }

  scheduling::Ending talk_events(common::Stream& worker, boost::beast::flat_buffer& buffer,
                                 http::response_parser<http::buffer_body>& parser, std::uint64_t ticket) {
    EventReader reader(plan_->setup.workers.bytes_per_token);
    std::string bytes;
    std::string text;
    std::uint64_t expected = rule_.stream ? state_machine_.last_event() + 1 : 1;
    bool first = true;
    common::Moment first_at = 0;
    double outputs = 0;
    double iterations = 0;
    std::vector<double> gaps;
    common::Moment last_at = 0;
    double running_sum = 0;
    while (true) {
      if (!read_some(worker, buffer, parser, bytes) || (bytes.empty() && parser.is_done())) {
        after_ = scheduling::WorkerFailure{"cut_stream"};
        return interrupt_->set() ? scheduling::Ending::abandoned : scheduling::Ending::failure;
      }
      std::vector<StreamEvent> events;
      bool const well = reader.feed(bytes, events);
      for (StreamEvent const& event : events) {
        if (event.number != expected || (event.last && event.query != facts_.id)) {
          after_ = scheduling::WorkerFailure{event.number != expected ? "numbering" : "wrong_query"};
          return scheduling::Ending::failure;
        }
        ++expected;
        if (first) {
          first = false;
          first_at = common::boot_now();
          field_.with(pool(), [ticket](scheduling::Placement& placement) {
            placement.first_token(ticket, common::boot_now());
            return std::vector<scheduling::PlacementAction>{};
          });
          if (leg_ == Leg::whole) {
            note_prefill();
          }
          if (!rule_.stream) {
            field_.metrics().observe("furrow_first_event_seconds", "rule=\"" + serve_.rule + "\"",
                                     static_cast<double>(first_at - began_) / 1e6);
          }
        } else {
          iterations += 1;
          gaps.push_back(static_cast<double>(common::boot_now() - last_at) / 1e6);
        }
        last_at = common::boot_now();
        outputs += event.tokens;
        if (rule_.stream) {
          event_ = event;
          feed(scheduling::Event{event.number, event.last});
        } else {
          text += event.text;
        }
        if (event.last) {
          field_.with(pool(), [&](scheduling::Placement& placement) {
            running_sum = placement.running_on(go_.worker);
            return std::vector<scheduling::PlacementAction>{};
          });
          note_decode(first_at, outputs, iterations, (running_sum + running_at_start_ + 1) / 2, gaps);
          if (!rule_.stream) {
            finish_text(text, event.number);
          }
          return scheduling::Ending::success;
        }
        if (interrupt_->set() || state_machine_.settled()) {
          return scheduling::Ending::abandoned;
        }
      }
      if (!well) {
        after_ = scheduling::WorkerFailure{"malformed_stream"};
        return scheduling::Ending::failure;
      }
    }
  }

  void finish_text(std::string const& text, std::uint64_t events) {
    common::Tree object(cJSON_CreateObject());
    cJSON_AddStringToObject(object.get(), "query", facts_.id.c_str());
    cJSON_AddStringToObject(object.get(), "text", text.c_str());
    cJSON_AddNumberToObject(object.get(), "events", static_cast<double>(events));
    cJSON_AddBoolToObject(object.get(), "complete", 1);
    whole_ = common::answer_text(http::status::ok, common::print_tree(object.get()));
    after_ = scheduling::WholeResponse{};
  }

  /// What the first token shows of the prefill (section 8.2).
  void note_prefill() {
    double const took = static_cast<double>(common::boot_now() - sent_) / 1e6;
    double const uncached = std::max(1.0, tokens_ - go_.cached);
    schema::WorkerFigures figures;
    figures.worker = go_.worker;
    figures.phase = phase_ == scheduling::Phase::decode ? "decode" : "prefill";
    figures.queries = 1;
    figures.uncached = uncached;
    figures.cached = go_.cached;
    figures.pairs = scheduling::pairs(uncached, go_.cached);
    figures.prefill_seconds = took;
    field_.add_figures(figures);
    if (running_at_start_ <= 1) {  // alone, so that the time is its own
      schema::Sample sample;
      sample.worker = go_.worker;
      sample.seconds = took;
      sample.sure = go_.cached > 0;
      sample.uncached = uncached;
      sample.pairs = figures.pairs;
      field_.add_sample(sample);
    }
  }

  void note_decode(common::Moment first_at, double outputs, double iterations, double running,
                   std::vector<double> const& gaps) {
    field_.learn_outputs(serve_.rule, outputs);
    double const took = static_cast<double>(common::boot_now() - first_at) / 1e6;
    schema::WorkerFigures figures;
    figures.worker = go_.worker;
    figures.phase = phase_ == scheduling::Phase::decode ? "decode" : "prefill";
    figures.outputs = outputs;
    figures.iterations = iterations;
    figures.decode_seconds = took;
    figures.decodes = 1;
    figures.running_sum = running * iterations;
    field_.add_figures(figures);
    if (iterations >= 4) {
      schema::Sample sample;
      sample.worker = go_.worker;
      sample.decode = true;
      sample.seconds = scheduling::median(gaps);
      sample.iterations = iterations;
      sample.spread =
          scheduling::spread(plan_->setup.scaler.experts_share, plan_->setup.scaler.tokens_forward, running);
      sample.running = running;
      field_.add_sample(sample);
    }
  }

  /// Section 9.4: at most one pass, only to a region that reports room.
  void pass_on() {
    (void)follow_plan();
    if (state_machine_.settled()) {
      return;
    }
    std::vector<schema::Member> const targets =
        scheduling::forward_targets(*plan_, field_.name(), pool(), serve_.has_home);
    if (targets.empty() || !field_.confirmed(common::boot_now())) {
      feed(scheduling::NoCapacity{});
      return;
    }
    go_ = scheduling::DispatchQuery{0, "pass", targets[common::random_number() % targets.size()].address, 0, 0};
    feed(scheduling::Placed{go_.worker});
    absl::StatusOr<std::unique_ptr<common::Stream>> const connection =
        common::connect(field_.context(), go_.address, constants::connect_deadline, yield_);
    if (!connection.ok() || interrupt_->set() || follow_plan() || !field_.confirmed(common::boot_now())) {
      if (!interrupt_->set()) {
        feed(scheduling::NoCapacity{});
      }
      return;
    }
    field_.metrics().count("furrow_passes_total", "rule=\"" + serve_.rule + "\"");
    common::Stream& stream = **connection;
    interrupt_->wake = [&stream] { stream.cancel(); };
    feed(scheduling::Connected{});
    talk_pass(stream);
    interrupt_->wake = nullptr;
    if (after_.has_value()) {
      scheduling::QueryMessage const message = *after_;
      after_.reset();
      if (!interrupt_->set()) {
        feed(message);
      }
    }
  }

  void talk_pass(common::Stream& stream) {
    common::Ask ask{facts_.method, facts_.target, 11};
    ask.set(http::field::host, go_.address);
    ask.set(query_header, facts_.id);
    ask.set(pass_header, field_.pass_word());
    ask.set(http::field::content_type, facts_.content_type);
    ask.body() = facts_.body;
    ask.keep_alive(false);
    ask.prepare_payload();
    error_code error;
    stream.expires_after(common::duration(constants::write_deadline));
    http::async_write(stream, ask, yield_[error]);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    stream.expires_after(common::duration(std::max<common::Span>(deadline_ - common::boot_now(), 1000)));
    http::async_read_header(stream, buffer, parser, yield_[error]);
    if (error) {
      after_ = scheduling::WorkerFailure{"pass_cut"};
      return;
    }
    if (parser.get()[ran_header] == "no" || parser.get().result_int() == 307) {
      after_ = scheduling::NoCapacity{};
      return;
    }
    if (parser.get()[query_header] != facts_.id) {
      after_ = scheduling::WorkerFailure{"wrong_query"};
      return;
    }
    if (parser.get()[http::field::content_type].starts_with("text/event-stream")) {
      EventReader reader(plan_->setup.workers.bytes_per_token);
      std::string bytes;
      while (true) {
        std::vector<StreamEvent> events;
        if (!read_some(stream, buffer, parser, bytes) || (bytes.empty() && parser.is_done()) ||
            !reader.feed(bytes, events)) {
          after_ = scheduling::WorkerFailure{"pass_cut"};
          return;
        }
        for (StreamEvent const& event : events) {
          event_ = event;
          feed(scheduling::Event{event.number, event.last});
          if (event.last || interrupt_->set() || state_machine_.settled()) {
            return;
          }
        }
      }
    }
    (void)talk_whole_pass(stream, buffer, parser);
  }

  bool talk_whole_pass(common::Stream& stream, boost::beast::flat_buffer& buffer,
                       http::response_parser<http::buffer_body>& parser) {
    std::string body;
    std::string bytes;
    unsigned int const status = parser.get().result_int();
    while (!parser.is_done()) {
      if (!read_some(stream, buffer, parser, bytes) || body.size() + bytes.size() > constants::answer_limit) {
        after_ = scheduling::WorkerFailure{"pass_cut"};
        return false;
      }
      body += bytes;
    }
    if (status >= 500) {
      after_ = scheduling::WorkerErrorResponse{static_cast<int>(status)};
      return false;
    }
    whole_ = common::answer_text(static_cast<http::status>(status), std::move(body),
                                 std::string(parser.get()[http::field::content_type]));
    after_ = scheduling::WholeResponse{};
    return true;
  }

  ProxyState& field_;
  std::shared_ptr<Plan const> plan_;
  QueryFacts facts_;
  common::Stream& caller_;
  common::Yield yield_;
  std::shared_ptr<Interrupt> interrupt_;
  common::Moment began_;
  config::Serve serve_;  ///< by the plan that it goes by now
  schema::Rule rule_;
  std::string home_;  ///< another region, once it is decided so
  common::Moment deadline_;
  scheduling::QueryStateMachine state_machine_;
  double tokens_ = 0;
  std::vector<std::uint64_t> chain_;
  bool place_next_ = false;
  bool pass_next_ = false;
  bool header_sent_ = false;
  bool keep_ = false;
  Leg leg_ = Leg::whole;
  scheduling::Phase phase_ = scheduling::Phase::both;
  std::string kv_;
  scheduling::DispatchQuery go_;
  common::Moment sent_ = 0;
  double running_at_start_ = 0;
  double expected_seconds_ = 0;  ///< the wait that it was denied for
  common::Answer whole_;
  StreamEvent event_;
  std::optional<scheduling::QueryMessage> after_;
};

}  // namespace

bool run_query(ProxyState& field, std::shared_ptr<Plan const> plan, QueryFacts facts, common::Stream& caller,
               bool pipelined, common::Yield yield) {
  Query query(field, std::move(plan), std::move(facts), caller, yield);
  return query.run(pipelined);
}

}  // namespace finchlink::data_plane
