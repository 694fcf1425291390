#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "common/net/net.hpp"
#include "common/wire/frame.hpp"
#include "consensus/acceptor/acceptor.hpp"
#include "control_plane/register_client/register_client.hpp"
#include "tests/consensus/narrow_link.hpp"
#include "tests/own_address.hpp"

namespace finchlink::control_plane {
namespace {

constexpr std::size_t voters = 5;
constexpr std::size_t clients = 6;
/// How long operators try to read an acknowledged value back.
constexpr common::Span read_timeout = common::seconds(6);
constexpr common::Span remote_latency = common::milliseconds(55);
constexpr double remote_bits_per_microsecond = 5;

/// Two regions after a power loss of all machines and the loss of two disks: three of five voters have a vote, and only
/// one of them holds the newest value, which was acknowledged. Six processes read until all registers are confirmed,
/// over links whose delay grows with the message size.
class ClusterAfterPowerLoss {
 public:
  explicit ClusterAfterPowerLoss(std::size_t bytes) {
    schema::VoterSet set{1, {}, {}};
    for (std::size_t index = 0; index < voters; ++index) {
      set.holders.push_back(schema::Voter{100 + index, address(0, index)});
    }
    set.previous = set.holders;
    for (std::size_t index = 0; index < voters; ++index) {
      acceptors_.push_back(acceptor(set, index, bytes));
    }
    for (std::size_t client = 0; client < clients; ++client) {
      add_client(set, client);
    }
  }

  /// The time until every client has confirmed the newest value; nothing if some have not in time.
  std::optional<common::Span> time_until_confirmed() {
    common::Moment const begun = common::boot_now();
    std::optional<common::Span> took;
    for (std::unique_ptr<RegisterClient> const& client : clients_) {
      client->begin();
    }
    common::start(context_, [&](common::Yield yield) {
      while (!took.has_value() && common::boot_now() - begun < read_timeout) {
        std::size_t confirmed = 0;
        for (std::unique_ptr<RegisterClient> const& client : clients_) {
          confirmed += client->confirmed_from() > 0 && client->value("charter").revision == 2 ? 1 : 0;
        }
        if (confirmed == clients_.size()) {
          took = common::boot_now() - begun;
        }
        common::pause(context_, common::milliseconds(10), yield);
      }
      context_.stop();
    });
    context_.run();
    return took;
  }

 private:
  static std::string address(std::size_t client, std::size_t voter) {
    return own_ip() + ":" + std::to_string(20200 + client * 10 + voter);
  }
  static std::size_t region(std::size_t voter) { return voter == 2 || voter == 4 ? 1 : 0; }

  static std::unique_ptr<consensus::Acceptor> acceptor(schema::VoterSet const& set, std::size_t index,
                                                       std::size_t bytes) {
    std::vector<std::string> const founders;
    if (index >= 3) {  // its disk was lost
      return std::make_unique<consensus::Acceptor>(900 + index, set.holders[index].address, founders,
                                                   common::boot_now());
    }
    std::vector<schema::Record> records{schema::FoundingRecord{set.holders[index].incarnation, {}, {}},
                                        schema::SetRecord{set, true, true}};
    schema::Ballot const older{1, 1, 9};
    schema::Ballot const newer{1, 2, 9};
    records.emplace_back(schema::CellRecord{"charter", schema::Cell{older, older, schema::Value{1, "old", {}}}});
    if (index == 0) {
      schema::Value const value{2, consensus_test::incompressible_bytes(bytes), {}};
      records.emplace_back(schema::CellRecord{"charter", schema::Cell{newer, newer, value}});
    }
    return std::make_unique<consensus::Acceptor>(records, set.holders[index].address, founders, common::boot_now());
  }

  void add_client(schema::VoterSet set, std::size_t client) {
    for (std::size_t voter = 0; voter < voters; ++voter) {
      set.holders[voter].address = address(client, voter);
      bool const remote = region(voter) != region(client % voters);
      EXPECT_TRUE(common::serve_frames(context_, common::counted_address(set.holders[voter].address, 100),
                                       [this, voter, remote](schema::Message const& message, common::Yield yield) {
                                         return answer(voter, remote, message, yield);
                                       })
                      .ok());
    }
    callers_.push_back(std::make_unique<common::FrameClient>(context_));
    clients_.push_back(std::make_unique<RegisterClient>(context_, *callers_.back(), client + 1,
                                                        std::vector<std::string>{}, common::milliseconds(400)));
    clients_.back()->learn(set);
    if (client < voters) {
      clients_.back()->set_local_voter(RegisterClient::LocalVoter{
          [this, client] { return acceptors_[client]->incarnation(); },
          [this, client](std::string const& name, schema::Ballot const& accepted, schema::Value const& value,
                         common::Yield) { (void)acceptors_[client]->take_accepted(name, accepted, value); }});
    }
  }

  /// Delays the request and the reply according to their sizes.
  std::optional<schema::Message> answer(std::size_t voter, bool remote, schema::Message const& message,
                                        common::Yield yield) {
    delay(remote, message, yield);
    std::optional<schema::Message> reply = acceptors_[voter]->receive(message, common::boot_now()).reply;
    if (schema::Refused* const refused = reply.has_value() ? std::get_if<schema::Refused>(&*reply) : nullptr) {
      refused->set = schema::VoterSet{};  // each client reaches the voters at its own addresses
    }
    if (reply.has_value()) {
      delay(remote, *reply, yield);
    }
    return reply;
  }
  void delay(bool remote, schema::Message const& message, common::Yield yield) {
    if (remote) {
      double const bits = 8.0 * static_cast<double>(common::frame(message).size());
      common::pause(context_, remote_latency + static_cast<common::Span>(bits / remote_bits_per_microsecond), yield);
    }
  }

  boost::asio::io_context context_;
  std::vector<std::unique_ptr<consensus::Acceptor>> acceptors_;
  std::vector<std::unique_ptr<common::FrameClient>> callers_;
  std::vector<std::unique_ptr<RegisterClient>> clients_;
};

/// Incident 0020: after such a loss no client could confirm its reads for longer than operators retry. A change that
/// only one voter has accepted must be settled in time, also when its value is large.
TEST(HalfDoneChange, OfALargeValueIsReadInTimeAfterALossOfPowerAndTwoDisks) {
  for (std::size_t const bytes : {std::size_t{2000}, std::size_t{500000}}) {
    ClusterAfterPowerLoss cluster(bytes);
    std::optional<common::Span> const took = cluster.time_until_confirmed();
    EXPECT_TRUE(took.has_value()) << bytes << " bytes: not confirmed within " << read_timeout / 1000 << " ms";
    std::printf("[ figure ] %zu bytes: sure after %lld ms\n", bytes,
                static_cast<long long>(took.value_or(read_timeout) / 1000));
  }
}

}  // namespace
}  // namespace finchlink::control_plane
