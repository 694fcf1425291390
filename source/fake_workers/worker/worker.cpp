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

Worker::Worker(boost::asio::io_context& context, schema::Bed const& bed, schema::BedWorker const& self,
               RegisterClient& ledger, bool warm, std::uint64_t seed)
    : context_(context),
      bed_(bed),
      self_(self),
      register_(ledger),
      random_(seed),
      cache_(bed.cache_blocks),
      part_cache_(static_cast<double>(bed.kept_tokens)),
      boot_("boot-" + std::to_string(seed) + "-0"),
      up_since_(common::boot_now()),
      warm_(warm) {}

void Worker::begin() {
  common::start(context_, [this](common::Yield yield) { engine(yield); });
}

double Worker::noisy(double seconds) {
  std::normal_distribution<double> spread(1.0, bed_.model.noise);
  return std::max(0.0, seconds * slow_ * std::max(0.2, spread(random_)) / self_.speed);
}

void Worker::set_draining(bool on) {
  draining_ = on;
  register_.draining(self_.id, on, common::boot_now());
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
    ++life_;
    boot_ = boot_.substr(0, boot_.rfind('-')) + "-" + std::to_string(life_);
    up_since_ = common::boot_now();
    warm_ = false;
    cache_.clear();
    part_cache_.clear();
  }
}

void Worker::change_weights() {
  std::lock_guard<std::mutex> const guard(lock_);
  ++weights_;
}

/// A relay names the worker and the weights that it means: another one says
/// so, and nothing runs.
bool Worker::turned_away(common::Stream& stream, common::Ask const& ask, common::Yield yield) {
  std::string weights;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    weights = "w" + std::to_string(weights_);
  }
  bool const other_worker = ask["Finchlink-Worker"] != self_.id;
  bool const other_weights = !ask["Finchlink-Expect-Weights"].empty() && ask["Finchlink-Expect-Weights"] != weights;
  if (!other_worker && !other_weights) {
    return false;
  }
  common::Answer answer = common::answer_error(http::status::misdirected_request,
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

/// Under `lock_`.
void Worker::take_parts(common::Ask const& ask, Job& job) {
  job.relayed = true;
  job.tokens = std::max(1.0, std::atof(std::string(ask["Finchlink-Tokens"]).c_str()));
  job.tenant = std::string(ask["Finchlink-Standin-Tenant"]);
  job.weights = "w" + std::to_string(weights_);
  job.load = std::to_string(running_.size()) + "," + std::to_string(waiting_.size()) + "," + std::to_string(bed_.limit);
  std::size_t const open = static_cast<std::size_t>(std::atoll(std::string(ask["Finchlink-Standin-Public"]).c_str()));
  std::stringstream words{std::string(ask["Finchlink-Parts"])};
  std::string word;
  while (std::getline(words, word, ',')) {
    std::size_t const colon = word.rfind(':');
    if (colon != std::string::npos) {
      job.parts.push_back(
          RequestPart{word.substr(0, colon), std::atof(word.c_str() + colon + 1), job.parts.size() < open});
    }
  }
}

bool Worker::over_limit(bool& flooded) {
  std::size_t const open = waiting_.size() + running_.size() + plain_open_;
  double const up = static_cast<double>(common::boot_now() - up_since_) / 1000.0;
  flooded = false;
  if (!warm_ && up < static_cast<double>(bed_.warming_ms)) {
    double const bears = static_cast<double>(bed_.cold_bears) +
                         static_cast<double>(bed_.limit) * up / static_cast<double>(bed_.warming_ms);
    flooded = static_cast<double>(open) >= bears;
  }
  return flooded || open >= bed_.limit;
}

void Worker::emit(JobPointer const& job, std::string const& text, bool last) {
  ++job->produced;
  if (job->produced <= job->skip) {
    return;
  }
  common::Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "text", text.c_str());
  if (last) {
    cJSON_AddStringToObject(object.get(), "query", job->query.c_str());
  }
  std::string const event = "id: " + std::to_string(job->produced) + "\nevent: " + (last ? "complete" : "token") +
                            "\ndata: " + common::print_tree(object.get()) + "\n\n";
  boost::asio::post(job->timer.get_executor(), [job, event, last] {
    job->events.push_back(event);
    job->ended = job->ended || last;
    job->timer.cancel();
  });
}

void Worker::engine(common::Yield yield) {
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
        CacheResult reading;
        if (prefill->relayed) {
          reading = part_cache_.read(prefill->tenant, prefill->weights, prefill->parts);
          register_.isolation(prefill->tenant, reading);
          prefill->reused = reading.reused;
          prefill->read = true;
        }
        double const cached =
            prefill->relayed
                ? std::min(reading.reused, prefill->tokens - 1)
                : std::min(static_cast<double>(cache_.match(prefill->chain)) * static_cast<double>(bed_.block_tokens),
                           prefill->tokens - 1);
        double const uncached = prefill->tokens - cached;
        cache_.remember(prefill->chain);
        std::vector<double> const& terms = bed_.model.prefill;
        if (prefill->leg == "decode") {
          seconds = 0;  // the KV came over from the prefill worker
        } else {
          seconds = noisy(terms[0] + terms[1] * uncached + terms[2] * scheduling::pairs(uncached, cached));
        }
      } else {
        batch = running_.size();
        std::vector<double> const& terms = bed_.model.decode;
        seconds = batch == 0
                      ? 0
                      : noisy(terms[0] +
                              terms[1] * scheduling::spread(bed_.model.experts_share, 1, static_cast<double>(batch)) +
                              terms[2] * static_cast<double>(batch));
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
      bool const last = prefill->leg == "prefill";
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
    std::string const piece(static_cast<std::size_t>(static_cast<double>(bed_.tokens_per_event) * bed_.bytes_per_token),
                            'w');
    for (std::list<JobPointer>::iterator place = running_.begin(); place != running_.end();) {
      JobPointer const job = *place;
      if (job->dropped) {
        place = running_.erase(place);
        continue;
      }
      bool const last = job->produced * bed_.tokens_per_event >= job->outputs;
      emit(job, piece, last);
      place = last ? running_.erase(place) : std::next(place);
    }
  }
}

void Worker::answer_plain(common::Stream& stream, std::string const& query, std::string const& nonce,
                          common::Yield yield) {
  double seconds = 0;
  {
    std::lock_guard<std::mutex> const guard(lock_);
    ++plain_open_;
    seconds = noisy(bed_.plain_ms / 1000);
  }
  common::pause(context_, static_cast<common::Span>(seconds * 1e6), yield);
  {
    std::lock_guard<std::mutex> const guard(lock_);
    --plain_open_;
  }
  if (crashed_) {
    return;
  }
  common::Answer answer = common::answer_text(http::status::ok, "{\"for\":\"" + nonce + "\",\"good\":true}");
  answer.set("Finchlink-Query", query);
  answer.keep_alive(false);
  error_code error;
  http::async_write(stream, answer, yield[error]);
}

void Worker::answer_stream(common::Stream& stream, JobPointer const& job, common::Yield yield) {
  error_code error;
  bool header = false;
  while (true) {
    if (job->dropped) {
      return;  // the connection closes without the last chunk
    }
    if (job->events.empty() && !job->ended) {
      error_code woken;
      job->timer.expires_after(std::chrono::seconds(60));
      job->timer.async_wait(yield[woken]);
      continue;
    }
    if (job->leg == "prefill") {
      common::Answer answer = common::answer_text(http::status::ok, "{\"prefill\":\"done\"}");
      answer.set("Finchlink-Query", job->query);
      answer.set("Finchlink-Kv", self_.address + "/" + job->query);
      answer.keep_alive(false);
      http::async_write(stream, answer, yield[error]);
      return;
    }
    if (!header) {
      header = true;
      http::response<http::empty_body> head{http::status::ok, 11};
      head.set(http::field::content_type, "text/event-stream");
      head.set("Finchlink-Query", job->query);
      if (job->relayed) {
        head.set("Finchlink-Seal", self_.id + "." + job->query);
        head.set("Finchlink-Weights", job->weights);
        head.set("Finchlink-Reused", std::to_string(static_cast<std::uint64_t>(job->reused)));
        head.set("Finchlink-Load", job->load);
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
    while (dark_) {
      common::pause(context_, common::milliseconds(50), yield);
    }
    common::Ask const ask = parser.release();
    if (ask.target() == "/load") {
      std::string body;
      {
        std::lock_guard<std::mutex> const guard(lock_);
        body = "{\"running\":" + std::to_string(running_.size() + plain_open_) +
               ",\"waiting\":" + std::to_string(waiting_.size()) + ",\"boot\":\"" + boot_ + "\"}";
      }
      common::Answer answer = common::answer_text(http::status::ok, body);
      answer.keep_alive(true);
      http::async_write(stream, answer, yield[error]);
      if (error) {
        return;
      }
      continue;
    }
    bool const relayed = !ask["Finchlink-Worker"].empty();
    if (relayed && turned_away(stream, ask, yield)) {
      return;
    }
    std::string const query(ask["Finchlink-Query"]);
    RegisterClient::Arrival arrival;
    arrival.rule = std::string(ask["Finchlink-Rule"]);
    arrival.worker = self_.id;
    arrival.region = self_.region;
    arrival.zone = self_.zone;
    arrival.leg = std::string(ask["Finchlink-Leg"]);
    arrival.dispatch = std::atoi(std::string(ask["Finchlink-Dispatch"]).c_str());
    arrival.now = common::boot_now();
    std::uint64_t outputs = 16;
    absl::StatusOr<common::Tree> const tree = common::read_tree(ask.body());
    if (tree.ok()) {
      cJSON const* const nonce = cJSON_GetObjectItemCaseSensitive(tree->get(), "nonce");
      cJSON const* const home = cJSON_GetObjectItemCaseSensitive(tree->get(), "home");
      cJSON const* const repeatable = cJSON_GetObjectItemCaseSensitive(tree->get(), "repeatable");
      cJSON const* const wanted = cJSON_GetObjectItemCaseSensitive(tree->get(), "outputs");
      arrival.nonce = cJSON_IsString(nonce) != 0 ? nonce->valuestring : "";
      arrival.home = cJSON_IsString(home) != 0 ? home->valuestring : "";
      arrival.repeatable = cJSON_IsTrue(repeatable) != 0;
      outputs = cJSON_IsNumber(wanted) != 0 ? static_cast<std::uint64_t>(wanted->valuedouble) : outputs;
    }
    std::string const target(ask.target());
    std::size_t const mark = target.find("nonce=");
    if (arrival.nonce.empty() && mark != std::string::npos) {
      arrival.nonce = target.substr(mark + 6);
      arrival.repeatable = true;
    }
    JobPointer const job = std::make_shared<Job>(yield.get_executor());
    bool refused = false;
    bool flooded = false;
    {
      std::lock_guard<std::mutex> const guard(lock_);
      refused = over_limit(flooded);
      if (!refused && self_.kind == "model") {
        job->query = query;
        job->nonce = arrival.nonce;
        job->leg = arrival.leg;
        job->tokens = std::max(1.0, static_cast<double>(ask.body().size()) / bed_.bytes_per_token);
        job->chain = scheduling::block_hashes(
            ask.body(), static_cast<std::size_t>(static_cast<double>(bed_.block_tokens) * bed_.bytes_per_token));
        if (relayed) {
          take_parts(ask, *job);
        }
        job->outputs = outputs;
        job->skip = static_cast<std::uint64_t>(std::atoll(std::string(ask["Last-Event-ID"]).c_str()));
        waiting_.push_back(job);
      }
    }
    register_.arrived(arrival, !refused, flooded);
    if (refused) {
      common::Answer answer = common::answer_error(http::status::too_many_requests, "full", "nothing ran");
      if (relayed) {
        answer.set("Finchlink-Refused", "1");
      }
      answer.set("Finchlink-Query", query);
      answer.keep_alive(false);
      http::async_write(stream, answer, yield[error]);
      return;
    }
    if (self_.kind != "model") {
      answer_plain(stream, query, arrival.nonce, yield);
      return;
    }
    bell_.ring();
    answer_stream(stream, job, yield);
    return;
  }
}

}  // namespace finchlink::fake_workers
