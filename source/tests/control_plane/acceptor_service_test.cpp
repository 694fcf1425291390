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

constexpr common::Span test_timeout = common::seconds(30);

std::string address_of(std::uint64_t incarnation) {
  return own_ip() + ":" + std::to_string(20120 + incarnation);
}

/// An acceptor that joins with a blank disk, and three scripted voters of the previous set.
struct JoiningAcceptor {
  boost::asio::io_context context;
  common::FrameClient caller{context};
  std::string folder = testing::TempDir() + "acceptor_service_" + std::to_string(common::boot_now());
  std::uint64_t silent = 0;  ///< the incarnation of a voter that never answers
  common::Moment first_request = 0;
  AcceptorService joining{context, caller, (std::filesystem::create_directories(folder), folder), address_of(9), {}};

  explicit JoiningAcceptor(std::uint64_t silent_voter) : silent(silent_voter) {
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      EXPECT_TRUE(common::serve_frames(context, common::counted_address(address_of(incarnation), 8),
                                       [this, incarnation](schema::Message const& message, common::Yield yield) {
                                         return answer(incarnation, message, yield);
                                       })
                      .ok());
    }
    joining.begin();
    run_until([this] { return joining.incarnation() != 0; });
  }
  ~JoiningAcceptor() { std::filesystem::remove_all(folder); }

  std::optional<schema::Message> answer(std::uint64_t incarnation, schema::Message const& message,
                                        common::Yield yield) {
    schema::ImageAsk const* const request = std::get_if<schema::ImageAsk>(&message);
    first_request = first_request == 0 ? common::boot_now() : first_request;
    if (incarnation == silent) {
      common::pause(context, test_timeout, yield);  // its connection stays open meanwhile
    }
    if (request == nullptr) {
      return std::nullopt;
    }
    return schema::Image{request->epoch, incarnation, {}, {}, request->epoch, 0};
  }

  void run_until(std::function<bool()> const& condition) {
    common::Moment const deadline = common::boot_now() + test_timeout;
    while (!condition() && common::boot_now() < deadline) {
      context.run_one_for(common::duration(common::milliseconds(5)));
    }
    EXPECT_TRUE(condition());
  }

  /// The time from the first snapshot request to the vote.
  common::Span time_to_vote() {
    std::vector<schema::Voter> previous;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      previous.push_back(schema::Voter{incarnation, address_of(incarnation)});
    }
    std::vector<schema::Voter> holders = previous;
    holders[0] = schema::Voter{joining.incarnation(), address_of(9)};
    common::start(context, [this, holders, previous](common::Yield yield) {
      (void)joining.receive(schema::Adopt{schema::VoterSet{2, holders, previous, {}, {}}}, yield);
    });
    run_until([this] { return joining.voting(); });
    return common::boot_now() - first_request;
  }
};

TEST(AcceptorService, ASilentSnapshotSourceIsNotWaitedFor) {
  for (std::uint64_t const silent : {1, 3}) {
    JoiningAcceptor cluster(silent);
    EXPECT_LT(cluster.time_to_vote(), constants::acceptor_deadline / 2) << silent;
  }
}

}  // namespace
}  // namespace finchlink::control_plane
