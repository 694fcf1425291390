#pragma once

#include <atomic>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "common/http/http.hpp"
#include "common/net/net.hpp"
#include "fake_workers/ledger/ledger.hpp"
#include "fake_workers/worker/part_cache.hpp"
#include "scheduling/prefix/prefix_record.hpp"
#include "schema/standin.hpp"

namespace finchlink::fake_workers {

/// A fake worker. Of kind "model" it prefills one query at a time and decodes all running queries as one batch; how
/// long that takes follows the cost equations of docs/design.md, with noise. Of any other kind it is a plain service.
class Worker {
 public:
  /// `context` and `ledger` must outlive the worker. `warm`: it takes its full load from the start;
  /// `seed`: of its noise, and part of its start id.
  Worker(boost::asio::io_context& context, schema::Bed const& config, schema::BedWorker const& spec, RunLedger& ledger,
         bool warm, std::uint64_t seed);
  /// Starts the coroutine that runs prefills and decode steps.
  void start();
  /// Serves one connection: load probes, and at most one query, after which the connection is closed.
  void serve(common::Stream& stream, common::Yield yield);

  [[nodiscard]] schema::BedWorker const& spec() const { return spec_; }
  /// Draining is shown in the worker list and recorded in the ledger; queries are still taken.
  void set_draining(bool on);
  [[nodiscard]] bool draining();
  /// Whether the platform's list contains the worker.
  void set_listed(bool on) { listed_ = on; }
  [[nodiscard]] bool listed() const { return listed_; }
  /// A crash cuts all connections at once; its end is a restart with empty caches and a new start id.
  void set_crashed(bool on);
  /// While unreachable, the worker accepts connections and never answers.
  void set_unreachable(bool on) { unreachable_ = on; }
  /// Multiplies all of the worker's times by this factor.
  void set_slowdown(double factor) { slowdown_ = factor; }
  /// Uses another version of the weights from now on.
  void change_weights();
  /// Queries that the worker takes at a time.
  [[nodiscard]] std::uint64_t limit() const { return config_.limit; }

 private:
  /// One query at a model worker. `events`, `ended` and `timer` are used on the strand of its connection only.
  struct Job {
    explicit Job(boost::asio::any_io_executor const& executor) : timer(executor) {}
    boost::asio::steady_timer timer;  ///< cancelled to wake the connection
    std::deque<std::string> events;   ///< not sent yet
    bool ended = false;
    std::atomic<bool> dropped = false;  ///< the client is gone, or the worker crashed
    std::string query;
    std::string nonce;
    std::string phase;                       ///< "prefill", "decode", or otherwise both
    std::vector<std::uint64_t> block_chain;  ///< hashes of the prompt's blocks
    double tokens = 0;                       ///< length of the prompt
    bool relayed = false;                    ///< sent by a relay, with prompt parts (docs/operating/walls.md)
    std::vector<RequestPart> prompt_parts;
    std::string tenant;  ///< that really sent the query
    std::string weights;
    std::string load_header;  ///< value of the header Finchlink-Load
    bool prompt_read = false;
    double cached_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t produced_events = 0;
    std::uint64_t skipped_events = 0;  ///< events that the client already has from an earlier dispatch
  };
  using JobPointer = std::shared_ptr<Job>;

  void run_engine(common::Yield yield);
  /// Adds an event to the job's stream, unless the client has it already.
  void emit(JobPointer const& job, std::string const& text, bool last);
  /// A relay names the worker and the weights that it expects. On a mismatch it gets status 421 with what differs,
  /// nothing runs, and this returns true.
  [[nodiscard]] bool rejects_mismatch(common::Stream& stream, common::Request const& ask, common::Yield yield);
  /// Fills the job from the headers of a relay. Requires `lock_`.
  void read_prompt_parts(common::Request const& ask, Job& job);
  /// A time in seconds with noise, the slowdown and the worker's speed applied. Requires `lock_`.
  [[nodiscard]] double add_noise(double seconds);
  /// Whether another query exceeds the limit; `overloads_cold_worker` is set if it is the lower limit of a worker that
  /// warms up. That rises from `cold_bears` by `limit` over `warming_ms`. Requires `lock_`.
  [[nodiscard]] bool is_over_limit(bool& overloads_cold_worker);
  void answer_plain(common::Stream& stream, std::string const& query, std::string const& nonce, common::Yield yield);
  void answer_stream(common::Stream& stream, JobPointer const& job, common::Yield yield);

  boost::asio::io_context& context_;
  schema::Bed config_;
  schema::BedWorker spec_;
  RunLedger& ledger_;
  std::mutex lock_;  ///< guards all that follows, but for atomic fields and `bell_`
  std::mt19937_64 random_;
  std::deque<JobPointer> waiting_;
  std::list<JobPointer> running_;
  std::size_t plain_open_ = 0;              ///< queries of a plain service that are being answered
  scheduling::PrefixRecord prefix_record_;  ///< cache of queries that came without prompt parts
  PartCache part_cache_;
  std::uint64_t weights_ = 1;
  std::string start_id_;  ///< changes with each restart
  common::Moment started_at_ = 0;
  bool warm_ = true;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> listed_ = true;
  std::atomic<bool> crashed_ = false;
  std::atomic<bool> unreachable_ = false;
  std::atomic<double> slowdown_ = 1.0;
  std::atomic<std::uint64_t> restarts_ = 0;  ///< since the process started
  common::Notifier bell_;                    ///< rung when a query was added
};

}  // namespace finchlink::fake_workers
