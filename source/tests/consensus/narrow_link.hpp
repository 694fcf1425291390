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

/// One direction of a narrow way on a fake clock: what goes at the same time
/// shares it evenly, as TCP connections do, and what is given up frees it.
class NarrowLink {
 public:
  using Arrival = std::function<void()>;
  NarrowLink(simulator::Kernel& kernel, double bits_per_second, common::Span one_way)
      : kernel_(kernel), bits_per_second_(bits_per_second), one_way_(one_way) {}

  void carry(std::size_t bytes, std::shared_ptr<bool> const& given_up, Arrival arrival) {
    waiting_.push_back(Load{bytes, given_up, std::move(arrival)});
    if (!busy_) {
      step();
    }
  }
  /// While cut, whatever would arrive is lost.
  bool cut = false;
  std::uint64_t carried = 0;

 private:
  struct Load {
    std::size_t left = 0;
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
    Load load = std::move(waiting_.front());
    waiting_.pop_front();
    std::size_t const part = std::min<std::size_t>(load.left, 16384);
    load.left -= part;
    carried += part;
    common::Span const span = static_cast<common::Span>(static_cast<double>(part) * 8e6 / bits_per_second_);
    kernel_.after(span, [this, load] {
      if (load.left > 0) {
        waiting_.push_back(load);
      } else {
        kernel_.after(one_way_, [this, load] {
          if (!cut && !*load.given_up) {
            load.arrival();
          }
        });
      }
      step();
    });
  }
  simulator::Kernel& kernel_;
  double bits_per_second_;
  common::Span one_way_;
  std::deque<Load> waiting_;
  bool busy_ = false;
};

/// Someone far away from all that answer it, by a narrow way there and back.
class RemoteClient {
 public:
  using Answerer = std::function<std::optional<schema::Message>(std::string const& address, schema::Message const&)>;
  using Reply = std::function<void(std::optional<schema::Message> const&)>;
  RemoteClient(simulator::Kernel& kernel, double bits_per_second, common::Span one_way, Answerer answerer)
      : kernel_(kernel),
        up(kernel, bits_per_second, one_way),
        down(kernel, bits_per_second, one_way),
        answerer_(std::move(answerer)) {}

  void call(std::string const& address, schema::Message const& message, common::Span deadline, Reply const& reply) {
    std::shared_ptr<bool> const over = std::make_shared<bool>(false);
    kernel_.after(deadline, [over, reply] {
      if (!*over) {
        *over = true;
        reply(std::nullopt);
      }
    });
    up.carry(common::frame(message).size(), over, [this, address, message, over, reply] {
      std::optional<schema::Message> const answer = answerer_(address, message);
      if (answer.has_value()) {
        down.carry(common::frame(*answer).size(), over, [over, reply, answer] {
          *over = true;
          reply(answer);
        });
      }
    });
  }
  /// As consensus::run_transfer does it.
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
             receiver->no_answer();
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

/// Bytes that no compression makes smaller.
inline std::string noise(std::size_t bytes, std::uint64_t seed = 7) {
  std::mt19937_64 random(seed);
  std::string text(bytes, ' ');
  for (char& letter : text) {
    letter = static_cast<char>(random());
  }
  return text;
}

/// Three founded acceptors a, b, c, spoken to directly.
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
  [[nodiscard]] consensus::Acceptor* at(std::string const& address) {
    std::size_t const index = static_cast<std::size_t>(address.front() - 'a');
    return address.size() == 1 && index < acceptors.size() ? &acceptors[index] : nullptr;
  }
  /// Has the acceptors of these indices accept the content under the round.
  void accept(std::string const& content, std::uint64_t round, std::vector<std::size_t> const& reach) {
    for (std::size_t const index : reach) {
      (void)acceptors[index].receive(
          schema::Accept{"charter", schema::Ballot{1, round, 9}, schema::Value{round, content, {}}}, 0);
    }
  }
};

}  // namespace finchlink::consensus_test
