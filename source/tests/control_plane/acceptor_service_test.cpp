#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>

#include "common/constants.hpp"
#include "common/net/net.hpp"
#include "control_plane/acceptor/acceptor_service.hpp"
#include "tests/own_address.hpp"

namespace finchlink::control_plane {
namespace {

namespace constants = common::constants;

constexpr common::Span given_up_after = common::seconds(30);

std::string address_of(std::uint64_t incarnation) {
  return own_ip() + ":" + std::to_string(20120 + incarnation);
}

/// A newcomer on a disk of its own, before three scripted voters of the set before.
struct NewcomerBeforeThree {
  boost::asio::io_context context;
  common::Caller caller{context};
  std::string folder = testing::TempDir() + "acceptor_service_" + std::to_string(common::boot_now());
  std::uint64_t silent = 0;  ///< the incarnation of one that never answers
  common::Moment first_ask = 0;
  AcceptorService newcomer{context, caller, (std::filesystem::create_directories(folder), folder), address_of(9), {}};

  explicit NewcomerBeforeThree(std::uint64_t silent_one) : silent(silent_one) {
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      EXPECT_TRUE(common::serve_frames(context, address_of(incarnation), 8,
                                       [this, incarnation](schema::Message const& message, common::Yield yield) {
                                         return answer(incarnation, message, yield);
                                       })
                      .ok());
    }
    newcomer.begin();
    run_until([this] { return newcomer.incarnation() != 0; });
  }
  ~NewcomerBeforeThree() { std::filesystem::remove_all(folder); }

  std::optional<schema::Message> answer(std::uint64_t incarnation, schema::Message const& message,
                                        common::Yield yield) {
    schema::ImageAsk const* const ask = std::get_if<schema::ImageAsk>(&message);
    first_ask = first_ask == 0 ? common::boot_now() : first_ask;
    if (incarnation == silent) {
      common::pause(context, given_up_after, yield);  // its connection stays open all the while
    }
    if (ask == nullptr) {
      return std::nullopt;
    }
    return schema::Image{ask->epoch, incarnation, {}, {}, ask->epoch, 0};
  }

  void run_until(std::function<bool()> const& reached) {
    common::Moment const given_up = common::boot_now() + given_up_after;
    while (!reached() && common::boot_now() < given_up) {
      context.run_one_for(common::duration(common::milliseconds(5)));
    }
    EXPECT_TRUE(reached());
  }

  /// From its first ask for an image to its vote.
  common::Span time_to_vote() {
    std::vector<schema::Voter> previous;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      previous.push_back(schema::Voter{incarnation, address_of(incarnation)});
    }
    std::vector<schema::Voter> holders = previous;
    holders[0] = schema::Voter{newcomer.incarnation(), address_of(9)};
    common::start(context, [this, holders, previous](common::Yield yield) {
      (void)newcomer.receive(schema::Adopt{schema::VoterSet{2, holders, previous, {}, {}}}, yield);
    });
    run_until([this] { return newcomer.voting(); });
    return common::boot_now() - first_ask;
  }
};

TEST(AcceptorService, ASilentSourceOfImagesIsNotWaitedFor) {
  for (std::uint64_t const silent : {1, 3}) {
    NewcomerBeforeThree world(silent);
    EXPECT_LT(world.time_to_vote(), constants::holder_deadline / 2) << silent;
  }
}

}  // namespace
}  // namespace finchlink::control_plane
