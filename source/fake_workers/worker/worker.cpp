#include "fake_workers/worker/worker.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <sstream>

#include "common/http/http.hpp"
#include "common/json/tree.hpp"
#include "scheduling/model/model.hpp"

namespace finchlink::fake_workers {

namespace http = common::http;
using boost::system::error_code;

Worker::Worker(boost::asio::io_context& context, schema::Bed const& config, schema::BedWorker const& spec,
               RunLedger& ledger, bool warm, std::uint64_t seed)
    : context_(context),
      config_(config),
      spec_(spec),
      ledger_(ledger),
      random_(seed),
      prefix_record_(config.cache_blocks),
      part_cache_(static_cast<double>(config.kept_tokens)),
      start_id_("boot-" + std::to_string(seed) + "-0"),
      started_at_(common::boot_now()),
      warm_(warm) {}

void Worker::start() {
  common::start(context_, [this](common::Yield yield) { run_engine(yield); });
}

double Worker::add_noise(double seconds) {
  std::normal_distribution<double> spread(1.0, config_.model.noise);
  return std::max(0.0, seconds * slowdown_ * std::max(0.2, spread(random_)) / spec_.speed);
}

void Worker::set_draining(bool on) {
  draining_ = on;
  ledger_.set_worker_draining(spec_.id, on, common::boot_now());
}
bool Worker::draining() {
  return draining_;
}

void Worker::set_crashed(bool on) {
  std::lock_guard<std::mutex> const guard(lock_);
  if (on == crashed_) {
    return;
  }
  crashed_ = on;
  if (on) {
    for (JobPointer const& job : waiting_) {
      boost::asio::post(job->timer.get_executor(), [one = job] {
        one->dropped = true;
        one->timer.cancel();
      });
    }
    for (JobPointer const& job : running_) {
      boost::asio::post(job->timer.get_executor(), [job] {
        job->dropped = true;
        job->timer.cancel();
      });
    }
    waiting_.clear();
    running_.clear();
  } else {
    ++restarts_;
    start_id_ = start_id_.substr(0, start_id_.rfind('-')) + "-" + std::to_string(restarts_);
    started_at_ = common::boot_now();
    warm_ = false;
    prefix_record_.clear();
    part_cache_.clear();
  }
}

void Worker::change_weights() {
  std::lock_guard<std::mutex> const guard(lock_);
  ++weights_;
}

bool Worker::rejects_mismatch(common::Stream& stream, common::Request const& ask, common::Yield yield) {
  std::string weights;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    weights = "w" + std::to_string(weights_);
  }
  bool const other_worker = ask["Finchlink-Worker"] != spec_.id;
  bool const other_weights = !ask["Finchlink-Expect-Weights"].empty() && ask["Finchlink-Expect-Weights"] != weights;
  if (!other_worker && !other_weights) {
    return false;
  }
  common::Response answer = common::error_response(http::status::misdirected_request,
                                                   other_worker ? "other_worker" : "other_weights", "nothing ran");
  answer.set("Finchlink-Query", ask["Finchlink-Query"]);
  answer.set("Finchlink-Refused", "1");
  if (!other_worker) {
    answer.set("Finchlink-Weights", weights);
  }
  answer.keep_alive(false);
  error_code error;
  http::async_write(stream, answer, yield[error]);
  return true;
}

void Worker::read_prompt_parts(common::Request const& ask, Job& job) {
  job.relayed = true;
  job.tokens = std::max(1.0, std::atof(std::string(ask["Finchlink-Tokens"]).c_str()));
  job.tenant = std::string(ask["Finchlink-Standin-Tenant"]);
  job.weights = "w" + std::to_string(weights_);
  job.load_header =
      std::to_string(running_.size()) + "," + std::to_string(waiting_.size()) + "," + std::to_string(config_.limit);
  std::size_t const public_parts =
      static_cast<std::size_t>(std::atoll(std::string(ask["Finchlink-Standin-Public"]).c_str()));
  std::stringstream entries{std::string(ask["Finchlink-Parts"])};
  std::string entry;
  while (std::getline(entries, entry, ',')) {
    std::size_t const colon = entry.rfind(':');
    if (colon != std::string::npos) {
      job.prompt_parts.push_back(RequestPart{entry.substr(0, colon), std::atof(entry.c_str() + colon + 1),
                                             job.prompt_parts.size() < public_parts});
    }
  }
}

bool Worker::is_over_limit(bool& overloads_cold_worker) {
  std::size_t const open_queries = waiting_.size() + running_.size() + plain_open_;
  double const uptime = static_cast<double>(common::boot_now() - started_at_) / 1000.0;
  overloads_cold_worker = false;
  if (!warm_ && uptime < static_cast<double>(config_.warming_ms)) {
    double const cold_limit = static_cast<double>(config_.cold_bears) +
                              static_cast<double>(config_.limit) * uptime / static_cast<double>(config_.warming_ms);
    overloads_cold_worker = static_cast<double>(open_queries) >= cold_limit;
  }
  return overloads_cold_worker || open_queries >= config_.limit;
}

void Worker::emit(JobPointer const& job, std::string const& text, bool last) {
  ++job->produced_events;
  if (job->produced_events <= job->skipped_events) {
    return;
  }
  common::Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "text", text.c_str());
  if (last) {
    cJSON_AddStringToObject(object.get(), "query", job->query.c_str());
  }
  std::string const event = "id: " + std::to_string(job->produced_events) +
                            "\nevent: " + (last ? "complete" : "token") +
                            "\ndata: " + common::print_tree(object.get()) + "\n\n";
  boost::asio::post(job->timer.get_executor(), [job, event, last] {
    job->events.push_back(event);
    job->ended = job->ended || last;
    job->timer.cancel();
  });
}

void Worker::run_engine(common::Yield yield) {
  while (true) {
    std::uint64_t const seen = bell_.count();
    JobPointer prefill;
    std::size_t batch = 0;
    double seconds = 0;
    {
      std::lock_guard<std::mutex> const guard(lock_);
      std::erase_if(running_, [](JobPointer const& job) { return job->dropped.load(); });
      while (!waiting_.empty() && waiting_.front()->dropped) {
        waiting_.pop_front();
      }
      if (!waiting_.empty()) {
        prefill = waiting_.front();
        waiting_.pop_front();
        running_.push_back(prefill);
        CacheResult cache_result;
        if (prefill->relayed) {
          cache_result = part_cache_.look_up_and_store(prefill->tenant, prefill->weights, prefill->prompt_parts);
          ledger_.record_cache_result(prefill->tenant, cache_result);
          prefill->cached_tokens = cache_result.cached_tokens;
          prefill->prompt_read = true;
        }
        double const cached = prefill->relayed
                                  ? std::min(cache_result.cached_tokens, prefill->tokens - 1)
                                  : std::min(static_cast<double>(prefix_record_.match(prefill->block_chain)) *
                                                 static_cast<double>(config_.block_tokens),
                                             prefill->tokens - 1);
        double const uncached = prefill->tokens - cached;
        prefix_record_.remember(prefill->block_chain);
        std::vector<double> const& coefficients = config_.model.prefill;
        if (prefill->phase == "decode") {
          seconds = 0;  // the KV cache was transferred from the prefill worker
        } else {
          seconds = add_noise(coefficients[0] + coefficients[1] * uncached +
                              coefficients[2] * scheduling::pairs(uncached, cached));
        }
      } else {
        batch = running_.size();
        std::vector<double> const& coefficients = config_.model.decode;
        seconds = batch == 0 ? 0
                             : add_noise(coefficients[0] +
                                         coefficients[1] * scheduling::spread(config_.model.experts_share, 1,
                                                                              static_cast<double>(batch)) +
                                         coefficients[2] * static_cast<double>(batch));
      }
    }
    if (prefill == nullptr && batch == 0) {
      bell_.wait(seen, common::seconds(1), yield);
      continue;
    }
    if (seconds > 0) {
      common::pause(context_, static_cast<common::Span>(seconds * 1e6), yield);
    }
    std::lock_guard<std::mutex> const guard(lock_);
    if (crashed_) {
      continue;
    }
    if (prefill != nullptr) {
      bool const last = prefill->phase == "prefill";
      if (last) {
        boost::asio::post(prefill->timer.get_executor(), [prefill] {
          prefill->ended = true;
          prefill->timer.cancel();
        });
        running_.remove(prefill);
      } else {
        emit(prefill, "for " + prefill->nonce + ";", false);
      }
      continue;
    }
    std::string const piece(
        static_cast<std::size_t>(static_cast<double>(config_.tokens_per_event) * config_.bytes_per_token), 'w');
    for (std::list<JobPointer>::iterator position = running_.begin(); position != running_.end();) {
      JobPointer const job = *position;
      if (job->dropped) {
        position = running_.erase(position);
        continue;
      }
      bool const last = job->produced_events * config_.tokens_per_event >= job->output_tokens;
      emit(job, piece, last);
      position = last ? running_.erase(position) : std::next(position);
    }
  }
}

void Worker::answer_plain(common::Stream& stream, std::string const& query, std::string const& nonce,
                          common::Yield yield) {
  double seconds = 0;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    ++plain_open_;
    seconds = add_noise(config_.plain_ms / 1000);
  }
  common::pause(context_, static_cast<common::Span>(seconds * 1e6), yield);
  {
    std::lock_guard<std::mutex> const guard(lock_);
    --plain_open_;
  }
  if (crashed_) {
    return;
  }
  common::Response answer = common::text_response(http::status::ok, "{\"for\":\"" + nonce + "\",\"good\":true}");
  answer.set("Finchlink-Query", query);
  answer.keep_alive(false);
  error_code error;
  http::async_write(stream, answer, yield[error]);
}

void Worker::answer_stream(common::Stream& stream, JobPointer const& job, common::Yield yield) {
  error_code error;
  bool header_sent = false;
  while (true) {
    if (job->dropped) {
      return;  // closes the connection without the last chunk, so that the client sees the response as incomplete
    }
    if (job->events.empty() && !job->ended) {
      error_code woken;
      job->timer.expires_after(std::chrono::seconds(60));
      job->timer.async_wait(yield[woken]);
      continue;
    }
    if (job->phase == "prefill") {
      common::Response answer = common::text_response(http::status::ok, "{\"prefill\":\"done\"}");
      answer.set("Finchlink-Query", job->query);
      answer.set("Finchlink-Kv", spec_.address + "/" + job->query);
      answer.keep_alive(false);
      http::async_write(stream, answer, yield[error]);
      return;
    }
    if (!header_sent) {
      header_sent = true;
      http::response<http::empty_body> head{http::status::ok, 11};
      head.set(http::field::content_type, "text/event-stream");
      head.set("Finchlink-Query", job->query);
      if (job->relayed) {
        head.set("Finchlink-Seal", spec_.id + "." + job->query);
        head.set("Finchlink-Weights", job->weights);
        head.set("Finchlink-Reused", std::to_string(static_cast<std::uint64_t>(job->cached_tokens)));
        head.set("Finchlink-Load", job->load_header);
      }
      head.keep_alive(false);
      head.chunked(true);
      http::response_serializer<http::empty_body> serializer(head);
      http::async_write_header(stream, serializer, yield[error]);
    }
    std::string text;
    while (!job->events.empty()) {
      text += job->events.front();
      job->events.pop_front();
    }
    bool const ended = job->ended;
    if (!text.empty() && !error) {
      boost::asio::async_write(stream, http::make_chunk(boost::asio::buffer(text)), yield[error]);
    }
    if (error) {
      std::lock_guard<std::mutex> const guard(lock_);
      job->dropped = true;
      return;
    }
    if (ended) {
      boost::asio::async_write(stream, http::make_chunk_last(), yield[error]);
      return;
    }
  }
}

void Worker::serve(common::Stream& stream, common::Yield yield) {
  boost::beast::flat_buffer buffer;
  while (true) {
    error_code error;
    http::request_parser<http::string_body> parser;
    parser.body_limit(16u << 20u);
    stream.expires_after(std::chrono::seconds(60));
    http::async_read(stream, buffer, parser, yield[error]);
    stream.expires_never();
    if (error || crashed_) {
      return;
    }
    while (unreachable_) {
      common::pause(context_, common::milliseconds(50), yield);
    }
    common::Request const ask = parser.release();
    if (ask.target() == "/load") {
      std::string body;
      {
        std::lock_guard<std::mutex> const guard(lock_);
        body = "{\"running\":" + std::to_string(running_.size() + plain_open_) +
               ",\"waiting\":" + std::to_string(waiting_.size()) + ",\"boot\":\"" + start_id_ + "\"}";
      }
      common::Response answer = common::text_response(http::status::ok, body);
      answer.keep_alive(true);
      http::async_write(stream, answer, yield[error]);
      if (error) {
        return;
      }
      continue;
    }
    bool const relayed = !ask["Finchlink-Worker"].empty();
    if (relayed && rejects_mismatch(stream, ask, yield)) {
      return;
    }
    std::string const query(ask["Finchlink-Query"]);
    RunLedger::Arrival arrival;
    arrival.rule = std::string(ask["Finchlink-Rule"]);
    arrival.worker = spec_.id;
    arrival.region = spec_.region;
    arrival.zone = spec_.zone;
    arrival.phase = std::string(ask["Finchlink-Leg"]);
    arrival.dispatch = std::atoi(std::string(ask["Finchlink-Dispatch"]).c_str());
    arrival.now = common::boot_now();
    std::uint64_t output_tokens = 16;
    absl::StatusOr<common::Tree> const tree = common::read_tree(ask.body());
    if (tree.ok()) {
      cJSON const* const nonce = cJSON_GetObjectItemCaseSensitive(tree->get(), "nonce");
      cJSON const* const home = cJSON_GetObjectItemCaseSensitive(tree->get(), "home");
      cJSON const* const repeatable = cJSON_GetObjectItemCaseSensitive(tree->get(), "repeatable");
      cJSON const* const requested_tokens = cJSON_GetObjectItemCaseSensitive(tree->get(), "outputs");
      arrival.nonce = cJSON_IsString(nonce) != 0 ? nonce->valuestring : "";
      arrival.home = cJSON_IsString(home) != 0 ? home->valuestring : "";
      arrival.repeatable = cJSON_IsTrue(repeatable) != 0;
      output_tokens = cJSON_IsNumber(requested_tokens) != 0 ? static_cast<std::uint64_t>(requested_tokens->valuedouble)
                                                            : output_tokens;
    }
    std::string const target(ask.target());
    std::size_t const nonce_at = target.find("nonce=");
    if (arrival.nonce.empty() && nonce_at != std::string::npos) {
      arrival.nonce = target.substr(nonce_at + 6);
      arrival.repeatable = true;
    }
    JobPointer const job = std::make_shared<Job>(yield.get_executor());
    bool rejected = false;
    bool overloads_cold_worker = false;
    {
      std::lock_guard<std::mutex> const guard(lock_);
      rejected = is_over_limit(overloads_cold_worker);
      if (!rejected && spec_.kind == "model") {
        job->query = query;
        job->nonce = arrival.nonce;
        job->phase = arrival.phase;
        job->tokens = std::max(1.0, static_cast<double>(ask.body().size()) / config_.bytes_per_token);
        job->block_chain = scheduling::block_hashes(
            ask.body(), static_cast<std::size_t>(static_cast<double>(config_.block_tokens) * config_.bytes_per_token));
        if (relayed) {
          read_prompt_parts(ask, *job);
        }
        job->output_tokens = output_tokens;
        job->skipped_events = static_cast<std::uint64_t>(std::atoll(std::string(ask["Last-Event-ID"]).c_str()));
        waiting_.push_back(job);
      }
    }
    ledger_.record_arrival(arrival, !rejected, overloads_cold_worker);
    if (rejected) {
      common::Response answer = common::error_response(http::status::too_many_requests, "full", "nothing ran");
      if (relayed) {
        answer.set("Finchlink-Refused", "1");
      }
      answer.set("Finchlink-Query", query);
      answer.keep_alive(false);
      http::async_write(stream, answer, yield[error]);
      return;
    }
    if (spec_.kind != "model") {
      answer_plain(stream, query, arrival.nonce, yield);
      return;
    }
    bell_.notify_all();
    answer_stream(stream, job, yield);
    return;
  }
}

}  // namespace finchlink::fake_workers
