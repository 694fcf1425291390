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

/// What can end a query from outside: a disconnect of its caller, or its deadline. Used on the query's strand only;
/// handlers share ownership, so it may outlive the query.
struct Interrupt {
  bool finished = false;
  bool caller_gone = false;
  bool deadline_passed = false;
  std::function<void()> wake;  ///< ends the operation that the query waits for; may be empty
  [[nodiscard]] bool active() const { return caller_gone || deadline_passed; }
};

/// Interrupts the query once the caller closes its connection.
void watch_for_disconnect(std::shared_ptr<Interrupt> const& interrupt, common::Stream& caller) {
  caller.socket().async_wait(asio::ip::tcp::socket::wait_read, [interrupt, &caller](error_code const& error) {
    if (interrupt->finished || error) {
      return;
    }
    char byte = 0;
    ssize_t const count = recv(caller.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
      return;  // the next query has arrived: the caller is still connected
    }
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      watch_for_disconnect(interrupt, caller);
      return;
    }
    interrupt->caller_gone = true;
    if (interrupt->wake) {
      interrupt->wake();
    }
  });
}

/// One query: performs the actions of its state machine and feeds it what happens.
class Query {
 public:
  Query(ProxyState& proxy, std::shared_ptr<Plan const> plan, QueryRequest request, common::Stream& caller,
        common::Yield yield)
      : proxy_(proxy),
        plan_(std::move(plan)),
        request_(std::move(request)),
        caller_(caller),
        yield_(yield),
        interrupt_(std::make_shared<Interrupt>()),
        started_at_(common::boot_now()),
        serve_(request_.serve),
        rule_(plan_->setup.rules.at(serve_.rule)),
        deadline_(started_at_ + common::milliseconds(static_cast<std::int64_t>(rule_.deadline_ms))),
        state_machine_(terms(), [this](common::Moment now) { return proxy_.take_retry_token(serve_.rule, now); }) {}

  /// Runs the query until it is settled; false if the caller's connection can't be used again.
  bool run(bool pipelined) {
    if (!request_.forwarded) {
      proxy_.query_arrived(serve_.rule, started_at_);
    }
    std::shared_ptr<asio::steady_timer> const timer =
        std::make_shared<asio::steady_timer>(yield_.get_executor(), common::duration(deadline_ - started_at_));
    timer->async_wait([interrupt = interrupt_, timer](error_code const& error) {
      if (!error && !interrupt->finished) {
        interrupt->deadline_passed = true;
        if (interrupt->wake) {
          interrupt->wake();
        }
      }
    });
    caller_.expires_never();
    if (!pipelined) {
      watch_for_disconnect(interrupt_, caller_);
    }
    schema::WorkerBounds const& bounds = plan_->setup.workers;
    tokens_ = std::max(1.0, static_cast<double>(request_.body.size()) / bounds.bytes_per_token);
    block_hashes_ = scheduling::block_hashes(
        request_.body, static_cast<std::size_t>(static_cast<double>(bounds.block_tokens) * bounds.bytes_per_token));
    perform(state_machine_.begin());
    while (!state_machine_.settled()) {
      if (interrupt_->caller_gone) {
        feed(scheduling::CallerGone{});
      } else if (interrupt_->deadline_passed) {
        feed(scheduling::DeadlinePassed{});
      } else if (forward_next_) {
        forward_next_ = false;
        forward();
      } else if (dispatch_next_) {
        dispatch_next_ = false;
        dispatch();
      } else {
        feed(scheduling::WorkerFailure{"internal"});  // unreachable: an open query always has a next step
        break;
      }
    }
    interrupt_->finished = true;
    timer->cancel();
    error_code ignored;
    caller_.socket().cancel(ignored);
    std::string const outcome = std::holds_alternative<scheduling::Settled>(state_machine_.state())
                                    ? std::get<scheduling::Settled>(state_machine_.state()).how
                                    : "open";
    proxy_.metrics().count("furrow_queries_total", "rule=\"" + serve_.rule + "\",outcome=\"" + outcome + "\"");
    if (outcome == "complete") {
      proxy_.metrics().observe("furrow_query_seconds", "rule=\"" + serve_.rule + "\"",
                               static_cast<double>(common::boot_now() - started_at_) / 1e6);
    }
    return keep_connection_;
  }

 private:
  [[nodiscard]] scheduling::QueryTerms terms() const {
    scheduling::QueryTerms terms;
    terms.repeatable = rule_.repeatable;
    terms.resumable = rule_.resumable;
    terms.stream = rule_.stream;
    terms.may_forward = !request_.forwarded;
    terms.max_dispatches = constants::max_dispatches;
    return terms;
  }

  /// Decides again by the config snapshot in force what an earlier one decided (section 9.7). True if what the query
  /// may do, or where it may go, has changed.
  bool reevaluate_config() {
    scheduling::QueryConfig query_config{plan_, serve_, rule_, home_};
    scheduling::RequestHead const header{
        std::string(request_.header.method_string()), request_.target.substr(0, request_.target.find('?')),
        [this](std::string const& name) { return std::string(request_.header[name]); }, request_.body.size()};
    scheduling::Reevaluation const reevaluation = scheduling::reevaluate(query_config, proxy_.plan(), header);
    plan_ = query_config.plan;
    serve_ = query_config.serve;
    rule_ = query_config.rule;
    home_ = query_config.home;
    if (reevaluation.decided.has_value()) {
      feed(*reevaluation.decided);
    }
    return reevaluation.changed;
  }

  void feed(scheduling::QueryMessage const& message) { perform(state_machine_.advance(message, common::boot_now())); }

  void perform(std::vector<scheduling::QueryAction> const& actions) {
    for (scheduling::QueryAction const& action : actions) {
      std::visit([this](auto const& entry) { perform_action(entry); }, action);
    }
  }

  void perform_action(scheduling::Place const& place) {
    dispatch_next_ = true;
    if (place.again) {
      proxy_.metrics().count("furrow_retries_total", "rule=\"" + serve_.rule + "\"");
    }
  }
  void perform_action(scheduling::ForwardToRegion const&) { forward_next_ = true; }
  void perform_action(scheduling::RedirectHome const&) {
    common::Response response = redirect_home(*plan_, home_, request_.id, request_.target);
    write_response(response);
  }
  void perform_action(scheduling::SendEvent const&) { write_event(); }
  void perform_action(scheduling::SendResponse const&) { write_response(response_); }
  void perform_action(scheduling::RejectQuery const& rejection) {
    common::Response response = rejection_response(request_.id, rejection.reason, expected_seconds_);
    write_response(response);
  }
  void perform_action(scheduling::FailUncertain const& failure) {
    common::Response response = failure_response(request_.id, failure.status, failure.reason, failure.may_have_run);
    write_response(response);
  }
  void perform_action(scheduling::EndWithError const& ended) {
    common::log_event(common::Event::QueryCut, request_.id + " " + ended.reason);
    common::Tree object(cJSON_CreateObject());
    cJSON_AddStringToObject(object.get(), "error", ended.reason.c_str());
    cJSON_AddStringToObject(object.get(), "query", request_.id.c_str());
    cJSON_AddBoolToObject(object.get(), "may_have_run", 1);
    // An error event and no last chunk, so that the caller can't take the stream for complete.
    std::string const text = "event: error\ndata: " + common::print_tree(object.get()) + "\n\n";
    (void)write_chunk(text);
    keep_connection_ = false;
  }
  void perform_action(scheduling::CancelDispatch const&) { keep_connection_ = false; }

  void write_response(common::Response& response) {
    error_code error;
    response.set(query_header, request_.id);
    response.keep_alive(request_.keep_connection);
    response.prepare_payload();
    caller_.expires_after(common::duration(constants::write_deadline));
    http::async_write(caller_, response, yield_[error]);
    caller_.expires_never();
    keep_connection_ = request_.keep_connection && !error;
  }

  bool write_chunk(std::string const& text) {
    error_code error;
    caller_.expires_after(common::duration(constants::write_deadline));
    asio::async_write(caller_, http::make_chunk(asio::buffer(text)), yield_[error]);
    caller_.expires_never();
    return !error;
  }

  /// Writes `event_`, after the response header if it is the first.
  void write_event() {
    error_code error;
    if (!header_sent_) {
      header_sent_ = true;
      proxy_.metrics().observe("furrow_first_event_seconds", "rule=\"" + serve_.rule + "\"",
                               static_cast<double>(common::boot_now() - started_at_) / 1e6);
      http::response<http::empty_body> header{http::status::ok, 11};
      header.set(http::field::content_type, "text/event-stream");
      header.set(http::field::cache_control, "no-store");
      header.set(query_header, request_.id);
      header.keep_alive(request_.keep_connection);
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
      keep_connection_ = request_.keep_connection && !error;
    }
    if (!good) {
      interrupt_->caller_gone = true;
    }
  }

  /// Waits for an assignment; nothing if interrupted or if the configuration changed.
  std::optional<scheduling::PlacementAction> wait_for_placement(std::uint64_t& ticket_id) {
    std::shared_ptr<WaitSlot> const slot = std::make_shared<WaitSlot>(yield_.get_executor());
    slot->timer.expires_at(std::chrono::steady_clock::time_point::max());
    ticket_id = proxy_.add_wait_slot(slot);
    scheduling::Ticket ticket;
    ticket.id = ticket_id;
    ticket.rule = serve_.rule;
    ticket.allowed = scheduling::allowed_workers(*plan_, serve_.rule);
    ticket.chain = block_hashes_;
    ticket.tokens = tokens_;
    ticket.outputs = proxy_.expected_outputs(serve_.rule);
    ticket.phase = scheduling::preferred_phase(*plan_, rule_.kind, paired(), query_phase_ == QueryPhase::decode,
                                               ticket.tokens, ticket.outputs);
    phase_ = ticket.phase;
    ticket.deadline = deadline_;
    ticket.begun = !kv_.empty();
    ticket.waitlist_bound = rule_.waitlist;
    proxy_.with_placement(
        pool(), [&ticket](scheduling::Placement& placement) { return placement.enqueue(ticket, common::boot_now()); });
    interrupt_->wake = [slot] { slot->timer.cancel(); };
    bool config_changed = false;
    while (!slot->action.has_value() && !interrupt_->active() && !config_changed) {
      error_code error;
      slot->timer.async_wait(yield_[error]);
      config_changed = !slot->action.has_value() && !interrupt_->active() && reevaluate_config();
    }
    interrupt_->wake = nullptr;
    proxy_.remove_wait_slot(ticket_id);
    if (!slot->action.has_value()) {
      cancel_ticket(ticket_id);
    }
    dispatch_next_ = dispatch_next_ || (config_changed && !state_machine_.settled());
    return slot->action;
  }

  [[nodiscard]] std::string pool() const { return pool_of(rule_.kind); }

  /// Whether the query runs in two phases. One that has begun so ends so, whatever the scaler's manner is by now.
  [[nodiscard]] bool paired() const {
    return rule_.kind == "model" && (!kv_.empty() || plan_->setup.scaler.manner == "paired");
  }

  void cancel_ticket(std::uint64_t ticket) {
    proxy_.with_placement(
        pool(), [ticket](scheduling::Placement& placement) { return placement.cancel(ticket, common::boot_now()); });
  }
  void finish_ticket(std::uint64_t ticket, scheduling::Ending ending) {
    proxy_.with_placement(pool(), [ticket, ending](scheduling::Placement& placement) {
      return placement.finished(ticket, ending, common::boot_now());
    });
  }

  /// Gives the assignment back if it may not be used any more; true if it did. Desired workers are reconciled first, so
  /// that the next assignment is another one, or none.
  bool withdraw_if_disallowed(std::uint64_t ticket) {
    // Checked again right before bytes are sent: the wait may have been long, or this machine may have been frozen
    // (sections 6.3 and 9.7).
    bool const changed = reevaluate_config();
    if (!changed && proxy_.may_dispatch(serve_.rule, target_.worker, common::boot_now())) {
      return false;
    }
    withdraw_placement(ticket);
    return true;
  }
  void withdraw_placement(std::uint64_t ticket) {
    finish_ticket(ticket, scheduling::Ending::abandoned);
    proxy_.reconcile();
    feed(scheduling::PlacementWithdrawn{});
  }

  /// Places the query and runs it on the assigned worker once.
  void dispatch() {
    (void)reevaluate_config();
    if (state_machine_.settled()) {
      return;
    }
    if (paired() && kv_.empty()) {
      query_phase_ = QueryPhase::prefill;
    } else if (paired()) {
      query_phase_ = QueryPhase::decode;
    }
    std::uint64_t ticket = 0;
    std::optional<scheduling::PlacementAction> const action = wait_for_placement(ticket);
    if (!action.has_value()) {
      return;
    }
    if (scheduling::Denied const* const denied = std::get_if<scheduling::Denied>(&*action)) {
      expected_seconds_ = denied->expected_seconds;
      if (denied->reason == "deadline") {
        feed(scheduling::DeadlinePassed{});
      } else {
        feed(scheduling::NoCapacity{});
      }
      return;
    }
    target_ = std::get<scheduling::DispatchQuery>(*action);
    feed(scheduling::Placed{target_.worker});
    if (withdraw_if_disallowed(ticket)) {
      return;
    }
    absl::StatusOr<std::unique_ptr<common::Stream>> connection =
        common::connect(proxy_.context(), target_.address, constants::connect_deadline, yield_);
    if (connection.ok() && !interrupt_->active() && withdraw_if_disallowed(ticket)) {
      return;
    }
    if (!connection.ok() || interrupt_->active()) {
      finish_ticket(ticket, connection.ok() ? scheduling::Ending::abandoned : scheduling::Ending::failure);
      if (!interrupt_->active()) {
        feed(scheduling::ConnectFailure{});
      }
      return;
    }
    common::Stream& worker = **connection;
    interrupt_->wake = [&worker] { worker.cancel(); };
    sent_at_ = common::boot_now();
    running_at_start_ = 0;
    proxy_.with_placement(pool(), [this](scheduling::Placement& placement) {
      running_at_start_ = placement.running_on(target_.worker);
      return std::vector<scheduling::PlacementAction>{};
    });
    feed(scheduling::Connected{});
    proxy_.metrics().count("furrow_dispatches_total", "rule=\"" + serve_.rule + "\",worker=\"" + target_.worker + "\"");
    scheduling::Ending const ending = exchange(worker, ticket);
    interrupt_->wake = nullptr;
    finish_ticket(ticket, ending);
    // The state machine gets the outcome only now, so that a retry finds this worker's slot already free or the worker
    // ejected.
    if (next_message_.has_value()) {
      scheduling::QueryMessage const message = *next_message_;
      next_message_.reset();
      if (!interrupt_->active()) {
        if (scheduling::WorkerFailure const* const failure = std::get_if<scheduling::WorkerFailure>(&message)) {
          common::log_event(common::Event::WorkerDefect, target_.worker + " " + failure->what + " " + request_.id);
        }
        (void)reevaluate_config();  // the rule in force decides whether it may run again
        feed(message);
      }
    }
  }

  /// Runs one dispatch on its own connection; leaves the message for the state machine in `next_message_`.
  scheduling::Ending exchange(common::Stream& worker, std::uint64_t ticket) {
    WorkerCall call;
    call.query = request_.id;
    call.rule = serve_.rule;
    call.dispatch = state_machine_.dispatches();
    call.phase = query_phase_;
    call.kv = query_phase_ == QueryPhase::decode ? kv_ : "";
    call.last_event = rule_.stream ? state_machine_.last_event() : 0;
    call.method = request_.method;
    call.target = request_.target;
    call.content_type = request_.content_type;
    call.body = &request_.body;
    common::Request http_request = make_worker_request(call, target_.address);
    error_code error;
    worker.expires_after(common::duration(constants::write_deadline));
    http::async_write(worker, http_request, yield_[error]);
    // Even if the write failed, the worker may have responded already, with a rejection for example; so the response
    // is read all the same.
    boost::beast::flat_buffer buffer(constants::response_buffer_bytes);
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    parser.header_limit(constants::header_limit);
    worker.expires_after(common::duration(std::max<common::Span>(deadline_ - common::boot_now(), 1000)));
    http::async_read_header(worker, buffer, parser, yield_[error]);
    if (error) {
      next_message_ = scheduling::WorkerFailure{"no_answer"};
      return interrupt_->active() ? scheduling::Ending::abandoned : scheduling::Ending::failure;
    }
    if (guarantees_not_run(parser.get().result_int())) {
      next_message_ = scheduling::WorkerRefused{};
      return scheduling::Ending::refused;
    }
    if (parser.get()[query_header] != request_.id) {
      next_message_ = scheduling::WorkerFailure{"wrong_query"};
      return scheduling::Ending::failure;
    }
    unsigned int const status = parser.get().result_int();
    bool const events = parser.get()[http::field::content_type].starts_with("text/event-stream");
    if (status != 200 || !events) {
      return read_whole_response(worker, buffer, parser);
    }
    return relay_event_stream(worker, buffer, parser, ticket);
  }

  /// Reads the next bytes of a worker's response; none at its end. False if the response is truncated.
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
        std::max<common::Span>(1000, std::min(constants::stream_stall_timeout, deadline_ - common::boot_now()))));
    error_code error;
    http::async_read_some(worker, buffer, parser, yield_[error]);
    if (error && error != http::error::need_buffer) {
      return false;
    }
    bytes.assign(piece, sizeof(piece) - parser.get().body().size);
    return true;
  }

  /// Reads a response that isn't an event stream.
  scheduling::Ending read_whole_response(common::Stream& worker, boost::beast::flat_buffer& buffer,
                                         http::response_parser<http::buffer_body>& parser) {
    std::string body;
    std::string bytes;
    unsigned int const status = parser.get().result_int();
    // Without a length or chunks, a truncated response looks like a complete one.
    bool const delimited = parser.content_length().has_value() || parser.chunked();
    while (!parser.is_done()) {
      if (!delimited || !read_some(worker, buffer, parser, bytes) ||
          body.size() + bytes.size() > constants::answer_limit) {
        next_message_ = scheduling::WorkerFailure{"cut_answer"};
        return interrupt_->active() ? scheduling::Ending::abandoned : scheduling::Ending::failure;
      }
      body += bytes;
    }
    if (status >= 500) {
      next_message_ = scheduling::WorkerErrorResponse{502};
      return scheduling::Ending::success;
    }
    if (query_phase_ == QueryPhase::prefill) {
      kv_ = std::string(parser.get()[kv_header]);
      if (status != 200 || kv_.empty()) {
        next_message_ = scheduling::WorkerFailure{"no_kv"};
        return scheduling::Ending::failure;
      }
      record_prefill();
      next_message_ = scheduling::PrefillDone{};
      return scheduling::Ending::success;
    }
    if (rule_.kind == "model" && status == 200) {
      next_message_ = scheduling::WorkerFailure{"no_stream"};
      return scheduling::Ending::failure;
    }
    response_ = common::text_response(static_cast<http::status>(status), std::move(body),
                                      std::string(parser.get()[http::field::content_type]));
    next_message_ = scheduling::WholeResponse{};
    return scheduling::Ending::success;
  }

  /// Reads an event stream and relays its events, or collects them if the rule doesn't stream.
  scheduling::Ending relay_event_stream(common::Stream& worker, boost::beast::flat_buffer& buffer,
                                        http::response_parser<http::buffer_body>& parser, std::uint64_t ticket) {
    EventReader reader(plan_->setup.workers.bytes_per_token);
    std::string bytes;
    std::string text;
    std::uint64_t expected = rule_.stream ? state_machine_.last_event() + 1 : 1;
    bool is_first = true;
    common::Moment first_event_at = 0;
    double outputs = 0;
    double iterations = 0;
    std::vector<double> gaps;
    common::Moment last_event_at = 0;
    double running_sum = 0;
    while (true) {
      if (!read_some(worker, buffer, parser, bytes) || (bytes.empty() && parser.is_done())) {
        next_message_ = scheduling::WorkerFailure{"cut_stream"};
        return interrupt_->active() ? scheduling::Ending::abandoned : scheduling::Ending::failure;
      }
      std::vector<StreamEvent> events;
      bool const is_well_formed = reader.feed(bytes, events);
      for (StreamEvent const& event : events) {
        if (event.number != expected || (event.last && event.query != request_.id)) {
          next_message_ = scheduling::WorkerFailure{event.number != expected ? "numbering" : "wrong_query"};
          return scheduling::Ending::failure;
        }
        ++expected;
        if (is_first) {
          is_first = false;
          first_event_at = common::boot_now();
          proxy_.with_placement(pool(), [ticket](scheduling::Placement& placement) {
            placement.first_token(ticket, common::boot_now());
            return std::vector<scheduling::PlacementAction>{};
          });
          if (query_phase_ == QueryPhase::whole) {
            record_prefill();
          }
          if (!rule_.stream) {
            proxy_.metrics().observe("furrow_first_event_seconds", "rule=\"" + serve_.rule + "\"",
                                     static_cast<double>(first_event_at - started_at_) / 1e6);
          }
        } else {
          iterations += 1;
          gaps.push_back(static_cast<double>(common::boot_now() - last_event_at) / 1e6);
        }
        last_event_at = common::boot_now();
        outputs += event.tokens;
        if (rule_.stream) {
          event_ = event;
          feed(scheduling::Event{event.number, event.last});
        } else {
          text += event.text;
        }
        if (event.last) {
          proxy_.with_placement(pool(), [&](scheduling::Placement& placement) {
            running_sum = placement.running_on(target_.worker);
            return std::vector<scheduling::PlacementAction>{};
          });
          record_decode(first_event_at, outputs, iterations, (running_sum + running_at_start_ + 1) / 2, gaps);
          if (!rule_.stream) {
            finish_collected_text(text, event.number);
          }
          return scheduling::Ending::success;
        }
        if (interrupt_->active() || state_machine_.settled()) {
          return scheduling::Ending::abandoned;
        }
      }
      if (!is_well_formed) {
        next_message_ = scheduling::WorkerFailure{"malformed_stream"};
        return scheduling::Ending::failure;
      }
    }
  }

  /// Makes the final response from the collected text of a stream.
  void finish_collected_text(std::string const& text, std::uint64_t events) {
    common::Tree object(cJSON_CreateObject());
    cJSON_AddStringToObject(object.get(), "query", request_.id.c_str());
    cJSON_AddStringToObject(object.get(), "text", text.c_str());
    cJSON_AddNumberToObject(object.get(), "events", static_cast<double>(events));
    cJSON_AddBoolToObject(object.get(), "complete", 1);
    response_ = common::text_response(http::status::ok, common::print_tree(object.get()));
    next_message_ = scheduling::WholeResponse{};
  }

  /// Reports the prefill time, as the first token shows it (section 8.2).
  void record_prefill() {
    double const elapsed = static_cast<double>(common::boot_now() - sent_at_) / 1e6;
    double const uncached = std::max(1.0, tokens_ - target_.cached);
    schema::WorkerFigures figures;
    figures.worker = target_.worker;
    figures.phase = phase_ == scheduling::Phase::decode ? "decode" : "prefill";
    figures.queries = 1;
    figures.uncached = uncached;
    figures.cached = target_.cached;
    figures.pairs = scheduling::pairs(uncached, target_.cached);
    figures.prefill_seconds = elapsed;
    proxy_.add_figures(figures);
    if (running_at_start_ <= 1) {  // it ran alone, so the time depends on no other query
      schema::Sample sample;
      sample.worker = target_.worker;
      sample.seconds = elapsed;
      sample.sure = target_.cached > 0;
      sample.uncached = uncached;
      sample.pairs = figures.pairs;
      proxy_.add_sample(sample);
    }
  }

  /// Reports output tokens and decode time of a complete stream.
  void record_decode(common::Moment first_event_at, double outputs, double iterations, double running,
                     std::vector<double> const& gaps) {
    proxy_.record_outputs(serve_.rule, outputs);
    double const elapsed = static_cast<double>(common::boot_now() - first_event_at) / 1e6;
    schema::WorkerFigures figures;
    figures.worker = target_.worker;
    figures.phase = phase_ == scheduling::Phase::decode ? "decode" : "prefill";
    figures.outputs = outputs;
    figures.iterations = iterations;
    figures.decode_seconds = elapsed;
    figures.decodes = 1;
    figures.running_sum = running * iterations;
    proxy_.add_figures(figures);
    if (iterations >= 4) {
      schema::Sample sample;
      sample.worker = target_.worker;
      sample.decode = true;
      sample.seconds = scheduling::median(gaps);
      sample.iterations = iterations;
      sample.spread =
          scheduling::spread(plan_->setup.scaler.experts_share, plan_->setup.scaler.tokens_forward, running);
      sample.running = running;
      proxy_.add_sample(sample);
    }
  }

  /// Forwards the query to a proxy that reports room (section 9.4); at most once per query.
  void forward() {
    (void)reevaluate_config();
    if (state_machine_.settled()) {
      return;
    }
    std::vector<schema::Member> const targets =
        scheduling::forward_targets(*plan_, proxy_.name(), pool(), serve_.has_home);
    if (targets.empty() || !proxy_.confirmed(common::boot_now())) {
      feed(scheduling::NoCapacity{});
      return;
    }
    target_ = scheduling::DispatchQuery{0, "pass", targets[common::random_number() % targets.size()].address, 0, 0};
    feed(scheduling::Placed{target_.worker});
    absl::StatusOr<std::unique_ptr<common::Stream>> const connection =
        common::connect(proxy_.context(), target_.address, constants::connect_deadline, yield_);
    if (!connection.ok() || interrupt_->active() || reevaluate_config() || !proxy_.confirmed(common::boot_now())) {
      if (!interrupt_->active()) {
        feed(scheduling::NoCapacity{});
      }
      return;
    }
    proxy_.metrics().count("furrow_passes_total", "rule=\"" + serve_.rule + "\"");
    common::Stream& stream = **connection;
    interrupt_->wake = [&stream] { stream.cancel(); };
    feed(scheduling::Connected{});
    exchange_forwarded(stream);
    interrupt_->wake = nullptr;
    if (next_message_.has_value()) {
      scheduling::QueryMessage const message = *next_message_;
      next_message_.reset();
      if (!interrupt_->active()) {
        feed(message);
      }
    }
  }

  /// Sends the forwarded query and relays the response; leaves the message for the state machine in `next_message_`.
  void exchange_forwarded(common::Stream& stream) {
    common::Request http_request{request_.method, request_.target, 11};
    http_request.set(http::field::host, target_.address);
    http_request.set(query_header, request_.id);
    http_request.set(forwarding_token_header, proxy_.forwarding_token());
    http_request.set(http::field::content_type, request_.content_type);
    http_request.body() = request_.body;
    http_request.keep_alive(false);
    http_request.prepare_payload();
    error_code error;
    stream.expires_after(common::duration(constants::write_deadline));
    http::async_write(stream, http_request, yield_[error]);
    boost::beast::flat_buffer buffer(constants::response_buffer_bytes);
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    stream.expires_after(common::duration(std::max<common::Span>(deadline_ - common::boot_now(), 1000)));
    http::async_read_header(stream, buffer, parser, yield_[error]);
    if (error) {
      next_message_ = scheduling::WorkerFailure{"pass_cut"};
      return;
    }
    if (parser.get()[may_have_run_header] == "no" || parser.get().result_int() == 307) {
      next_message_ = scheduling::NoCapacity{};
      return;
    }
    if (parser.get()[query_header] != request_.id) {
      next_message_ = scheduling::WorkerFailure{"wrong_query"};
      return;
    }
    if (parser.get()[http::field::content_type].starts_with("text/event-stream")) {
      EventReader reader(plan_->setup.workers.bytes_per_token);
      std::string bytes;
      while (true) {
        std::vector<StreamEvent> events;
        if (!read_some(stream, buffer, parser, bytes) || (bytes.empty() && parser.is_done()) ||
            !reader.feed(bytes, events)) {
          next_message_ = scheduling::WorkerFailure{"pass_cut"};
          return;
        }
        for (StreamEvent const& event : events) {
          event_ = event;
          feed(scheduling::Event{event.number, event.last});
          if (event.last || interrupt_->active() || state_machine_.settled()) {
            return;
          }
        }
      }
    }
    (void)read_forwarded_response(stream, buffer, parser);
  }

  /// Reads the response to a forwarded query that isn't an event stream; false if it failed.
  bool read_forwarded_response(common::Stream& stream, boost::beast::flat_buffer& buffer,
                               http::response_parser<http::buffer_body>& parser) {
    std::string body;
    std::string bytes;
    unsigned int const status = parser.get().result_int();
    while (!parser.is_done()) {
      if (!read_some(stream, buffer, parser, bytes) || body.size() + bytes.size() > constants::answer_limit) {
        next_message_ = scheduling::WorkerFailure{"pass_cut"};
        return false;
      }
      body += bytes;
    }
    if (status >= 500) {
      next_message_ = scheduling::WorkerErrorResponse{static_cast<int>(status)};
      return false;
    }
    response_ = common::text_response(static_cast<http::status>(status), std::move(body),
                                      std::string(parser.get()[http::field::content_type]));
    next_message_ = scheduling::WholeResponse{};
    return true;
  }

  ProxyState& proxy_;
  std::shared_ptr<Plan const> plan_;
  QueryRequest request_;
  common::Stream& caller_;
  common::Yield yield_;
  std::shared_ptr<Interrupt> interrupt_;
  common::Moment started_at_;
  config::Serve serve_;  ///< the disposition by `plan_`
  schema::Rule rule_;
  std::string home_;  ///< another region, once a decision says so; else empty
  common::Moment deadline_;
  scheduling::QueryStateMachine state_machine_;
  double tokens_ = 0;                        ///< of the prompt, estimated from the body's length
  std::vector<std::uint64_t> block_hashes_;  ///< of the body's blocks
  bool dispatch_next_ = false;
  bool forward_next_ = false;
  bool header_sent_ = false;
  bool keep_connection_ = false;
  QueryPhase query_phase_ = QueryPhase::whole;         ///< of the current dispatch
  scheduling::Phase phase_ = scheduling::Phase::both;  ///< phase whose workers it is placed on
  std::string kv_;                                     ///< KV cache handle from the prefill phase; empty before
  scheduling::DispatchQuery target_;                   ///< the assigned worker, or the proxy that it is forwarded to
  common::Moment sent_at_ = 0;
  double running_at_start_ = 0;
  double expected_seconds_ = 0;  ///< expected wait, when it was denied for that; for Retry-After
  common::Response response_;
  StreamEvent event_;
  std::optional<scheduling::QueryMessage> next_message_;  ///< outcome of the dispatch, for the state machine
};

}  // namespace

bool run_query(ProxyState& proxy, std::shared_ptr<Plan const> plan, QueryRequest request, common::Stream& caller,
               bool pipelined, common::Yield yield) {
  Query query(proxy, std::move(plan), std::move(request), caller, yield);
  return query.run(pipelined);
}

}  // namespace finchlink::data_plane
