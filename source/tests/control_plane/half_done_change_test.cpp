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
/// Operators ask for so long whether what was acknowledged is still there.
constexpr common::Span read_back_span = common::seconds(6);
constexpr common::Span far_way = common::milliseconds(55);
constexpr double far_bits_per_microsecond = 5;

/// Two regions after a loss of power everywhere with two disks lost: of five voters three have a vote, and one of
/// these alone has the newest value, which was acknowledged. Six processes, the ways between them as slow as the
/// bytes are many, ask until they are sure.
class AfterTheLoss {
 public:
  explicit AfterTheLoss(std::size_t bytes) {
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

  /// How long it takes until each of them is sure; nothing if some are not in time.
  std::optional<common::Span> time_until_sure() {
    common::Moment const begun = common::boot_now();
    std::optional<common::Span> took;
    for (std::unique_ptr<RegisterClient> const& client : clients_) {
      client->begin();
    }
    common::start(context_, [&](common::Yield yield) {
      while (!took.has_value() && common::boot_now() - begun < read_back_span) {
        std::size_t sure = 0;
        for (std::unique_ptr<RegisterClient> const& client : clients_) {
          sure += client->confirmed_from() > 0 && client->value("charter").revision == 2 ? 1 : 0;
        }
        if (sure == clients_.size()) {
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
      bool const far = region(voter) != region(client % voters);
      EXPECT_TRUE(common::serve_frames(context_, set.holders[voter].address, 100,
                                       [this, voter, far](schema::Message const& message, common::Yield yield) {
                                         return answer(voter, far, message, yield);
                                       })
                      .ok());
    }
    callers_.push_back(std::make_unique<common::Caller>(context_));
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

  /// The way there and back takes as long as the bytes need.
  std::optional<schema::Message> answer(std::size_t voter, bool far, schema::Message const& message,
                                        common::Yield yield) {
    travel(far, message, yield);
    std::optional<schema::Message> reply = acceptors_[voter]->receive(message, common::boot_now()).reply;
    if (schema::Refused* const refused = reply.has_value() ? std::get_if<schema::Refused>(&*reply) : nullptr) {
      refused->set = schema::VoterSet{};  // each client knows the voters by addresses of its own
    }
    if (reply.has_value()) {
      travel(far, *reply, yield);
    }
    return reply;
  }
  void travel(bool far, schema::Message const& message, common::Yield yield) {
    if (far) {
      double const bits = 8.0 * static_cast<double>(common::frame(message).size());
      common::pause(context_, far_way + static_cast<common::Span>(bits / far_bits_per_microsecond), yield);
    }
  }

  boost::asio::io_context context_;
  std::vector<std::unique_ptr<consensus::Acceptor>> acceptors_;
  std::vector<std::unique_ptr<common::Caller>> callers_;
  std::vector<std::unique_ptr<RegisterClient>> clients_;
};

/// Incident 0020: all were without an answer for longer than operators ask.
TEST(HalfDoneChange, OfALargeValueIsReadInTimeAfterALossOfPowerAndTwoDisks) {
  for (std::size_t const bytes : {std::size_t{2000}, std::size_t{500000}}) {
    AfterTheLoss world(bytes);
    std::optional<common::Span> const took = world.time_until_sure();
    EXPECT_TRUE(took.has_value()) << bytes << " bytes: not sure within " << read_back_span / 1000 << " ms";
    std::printf("[ figure ] %zu bytes: sure after %lld ms\n", bytes,
                static_cast<long long>(took.value_or(read_back_span) / 1000));
  }
}

}  // namespace
}  // namespace finchlink::control_plane
