#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/constants.hpp"
#include "common/wire/frame.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "consensus/proposer/proposer.hpp"
#include "consensus/transfer/value_receiver.hpp"
#include "simulator/kernel/kernel.hpp"

namespace finchlink::consensus_test {

/// One direction of a low-bandwidth link on a simulated clock. Concurrent transmissions share the bandwidth evenly, as
/// TCP connections do, and a transmission whose sender has given up no longer takes any.
class NarrowLink {
 public:
  using Arrival = std::function<void()>;
  /// `bits_per_second` is the bandwidth, `one_way` the latency.
  NarrowLink(simulator::Kernel& kernel, double bits_per_second, common::Span one_way)
      : kernel_(kernel), bits_per_second_(bits_per_second), one_way_(one_way) {}

  /// Sends `bytes`, and calls `arrival` when all have arrived, unless `*given_up` became true meanwhile.
  void carry(std::size_t bytes, std::shared_ptr<bool> const& given_up, Arrival arrival) {
    waiting_.push_back(Transmission{bytes, given_up, std::move(arrival)});
    if (!busy_) {
      step();
    }
  }
  /// While the link is cut, whatever would arrive is lost.
  bool cut = false;
  std::uint64_t carried = 0;  ///< bytes sent so far

 private:
  struct Transmission {
    std::size_t left = 0;  ///< bytes still to send
    std::shared_ptr<bool> given_up;
    Arrival arrival;
  };
  void step() {
    while (!waiting_.empty() && *waiting_.front().given_up) {
      waiting_.pop_front();
    }
    busy_ = !waiting_.empty();
    if (!busy_) {
      return;
    }
    Transmission transmission = std::move(waiting_.front());
    waiting_.pop_front();
    std::size_t const slice = std::min<std::size_t>(transmission.left, 16384);
    transmission.left -= slice;
    carried += slice;
    common::Span const span = static_cast<common::Span>(static_cast<double>(slice) * 8e6 / bits_per_second_);
    kernel_.after(span, [this, transmission] {
      if (transmission.left > 0) {
        waiting_.push_back(transmission);
      } else {
        kernel_.after(one_way_, [this, transmission] {
          if (!cut && !*transmission.given_up) {
            transmission.arrival();
          }
        });
      }
      step();
    });
  }
  simulator::Kernel& kernel_;
  double bits_per_second_;
  common::Span one_way_;
  std::deque<Transmission> waiting_;
  bool busy_ = false;
};

/// A client behind a low-bandwidth link in each direction; `answerer` stands for all servers at the far end.
class RemoteClient {
 public:
  using Answerer = std::function<std::optional<schema::Message>(std::string const& address, schema::Message const&)>;
  using Reply = std::function<void(std::optional<schema::Message> const&)>;
  RemoteClient(simulator::Kernel& kernel, double bits_per_second, common::Span one_way, Answerer answerer)
      : kernel_(kernel),
        up(kernel, bits_per_second, one_way),
        down(kernel, bits_per_second, one_way),
        answerer_(std::move(answerer)) {}

  /// Sends a request; `reply` is called once, without a message if the deadline passes first.
  void call(std::string const& address, schema::Message const& message, common::Span deadline, Reply const& reply) {
    std::shared_ptr<bool> const finished = std::make_shared<bool>(false);
    kernel_.after(deadline, [finished, reply] {
      if (!*finished) {
        *finished = true;
        reply(std::nullopt);
      }
    });
    up.carry(common::frame(message).size(), finished, [this, address, message, finished, reply] {
      std::optional<schema::Message> const answer = answerer_(address, message);
      if (answer.has_value()) {
        down.carry(common::frame(*answer).size(), finished, [finished, reply, answer] {
          *finished = true;
          reply(answer);
        });
      }
    });
  }
  /// Runs a transfer to its end as consensus::run_transfer does, but without its overall time limit.
  void run(std::shared_ptr<consensus::ValueReceiver> const& receiver,
           std::function<void(std::optional<std::string> const&)> const& done) {
    if (receiver->source().empty()) {
      done(std::nullopt);
      return;
    }
    std::size_t const before = receiver->received();
    call(receiver->source(), receiver->request(), common::constants::piece_deadline,
         [this, receiver, done, before](std::optional<schema::Message> const& answer) {
           if (!answer.has_value()) {
             receiver->record_timeout();
           } else {
             consensus::TransferState const state = receiver->receive(*answer);
             if (state == consensus::TransferState::complete) {
               done(receiver->take());
               return;
             }
             if (state == consensus::TransferState::unavailable) {
               done(std::nullopt);
               return;
             }
           }
           kernel_.after(receiver->received() > before ? 0 : common::constants::piece_pause,
                         [this, receiver, done] { run(receiver, done); });
         });
  }

 private:
  simulator::Kernel& kernel_;

 public:
  NarrowLink up;
  NarrowLink down;

 private:
  Answerer answerer_;
};

/// Pseudo-random bytes, which cannot be compressed.
inline std::string incompressible_bytes(std::size_t bytes, std::uint64_t seed = 7) {
  std::mt19937_64 random(seed);
  std::string data(bytes, ' ');
  for (char& byte : data) {
    byte = static_cast<char>(random());
  }
  return data;
}

/// Three bootstrapped acceptors with the addresses a, b, c and incarnations 100 to 102, called directly.
struct ThreeAcceptors {
  std::vector<consensus::Acceptor> acceptors;
  explicit ThreeAcceptors(consensus::Guards guards = {}) {
    for (std::size_t index = 0; index < 3; ++index) {
      acceptors.emplace_back(100 + index, std::string(1, static_cast<char>('a' + index)),
                             std::vector<std::string>{"a", "b", "c"}, 0, guards);
    }
    for (int round = 0; round < 3; ++round) {
      for (consensus::Acceptor& acceptor : acceptors) {
        std::vector<schema::FoundingAnswer> answers;
        for (consensus::Acceptor& other : acceptors) {
          if (&other != &acceptor) {
            answers.push_back(std::get<schema::FoundingAnswer>(*other.receive(schema::FoundingAsk{}, 0).reply));
          }
        }
        (void)acceptor.bootstrap(answers, 0);
      }
    }
  }
  /// Acceptor with this address, or null.
  [[nodiscard]] consensus::Acceptor* at(std::string const& address) {
    std::size_t const index = static_cast<std::size_t>(address.front() - 'a');
    return address.size() == 1 && index < acceptors.size() ? &acceptors[index] : nullptr;
  }
  /// Makes the acceptors with these indices accept the content under a ballot of this round.
  void accept(std::string const& content, std::uint64_t round, std::vector<std::size_t> const& indices) {
    for (std::size_t const index : indices) {
      (void)acceptors[index].receive(
          schema::Accept{"charter", schema::Ballot{1, round, 9}, schema::Value{round, content, {}}}, 0);
    }
  }
};

}  // namespace finchlink::consensus_test
