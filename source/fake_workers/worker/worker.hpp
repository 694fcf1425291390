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

/// A stand-in model worker: prefills one query at a time, decodes its batch
/// together, by the design's equations with noise; or a plain service.
class Worker {
 public:
  Worker(boost::asio::io_context& context, schema::Bed const& bed, schema::BedWorker const& self,
         RegisterClient& ledger, bool warm, std::uint64_t seed);
  void begin();
  void serve(common::Stream& stream, common::Yield yield);

  [[nodiscard]] schema::BedWorker const& self() const { return self_; }
  void set_draining(bool on);
  [[nodiscard]] bool draining();
  /// Listed or not by the platform.
  void set_listed(bool on) { listed_ = on; }
  [[nodiscard]] bool listed() const { return listed_; }
  /// Crashed: connections are cut at once. Dark: taken, never answered.
  void set_crashed(bool on);
  void set_dark(bool on) { dark_ = on; }
  /// All its times are this much longer.
  void set_slow(double times) { slow_ = times; }
  /// Weights of another version from now on.
  void change_weights();
  [[nodiscard]] std::uint64_t limit() const { return bed_.limit; }

 private:
  struct Job {
    explicit Job(boost::asio::any_io_executor const& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    std::deque<std::string> events;
    bool ended = false;
    std::atomic<bool> dropped = false;
    std::string query;
    std::string nonce;
    std::string leg;
    std::vector<std::uint64_t> chain;
    double tokens = 0;
    bool relayed = false;  ///< by a relay, with parts (docs/operating/walls.md)
    std::vector<RequestPart> parts;
    std::string tenant;
    std::string weights;
    std::string load;
    bool read = false;
    double reused = 0;
    std::uint64_t outputs = 0;
    std::uint64_t produced = 0;
    std::uint64_t skip = 0;
  };
  using JobPointer = std::shared_ptr<Job>;

  void engine(common::Yield yield);
  void emit(JobPointer const& job, std::string const& text, bool last);
  [[nodiscard]] bool turned_away(common::Stream& stream, common::Ask const& ask, common::Yield yield);
  void take_parts(common::Ask const& ask, Job& job);
  [[nodiscard]] double noisy(double seconds);
  [[nodiscard]] bool over_limit(bool& flooded);
  void answer_plain(common::Stream& stream, std::string const& query, std::string const& nonce, common::Yield yield);
  void answer_stream(common::Stream& stream, JobPointer const& job, common::Yield yield);

  boost::asio::io_context& context_;
  schema::Bed bed_;
  schema::BedWorker self_;
  RegisterClient& register_;
  std::mutex lock_;
  std::mt19937_64 random_;
  std::deque<JobPointer> waiting_;
  std::list<JobPointer> running_;
  std::size_t plain_open_ = 0;
  scheduling::PrefixRecord cache_;
  PartCache part_cache_;
  std::uint64_t weights_ = 1;
  std::string boot_;
  common::Moment up_since_ = 0;
  bool warm_ = true;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> listed_ = true;
  std::atomic<bool> crashed_ = false;
  std::atomic<bool> dark_ = false;
  std::atomic<double> slow_ = 1.0;
  std::atomic<std::uint64_t> life_ = 0;
  common::Bell bell_;
};

}  // namespace finchlink::fake_workers
