#include "tests/own_address.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/address_v4.hpp>
#include <set>

namespace finchlink {
namespace {

// Guards against two test processes with one address: ids that end in 254 and 255, or
// in 0 and 1, were mapped to the same one, and listening there failed.
TEST(OwnAddress, NeighboursNeverShareOne) {
  std::set<std::string> seen;
  for (unsigned int first : {1u, 65000u, 4194304u - 3000u}) {
    for (unsigned int number = first; number < first + 3000; ++number) {
      std::string const address = address_of_process(number);
      EXPECT_TRUE(seen.insert(address).second) << address;
      boost::system::error_code error;
      EXPECT_TRUE(boost::asio::ip::make_address_v4(address, error).is_loopback());
      EXPECT_FALSE(error) << address;
    }
  }
}

}  // namespace
}  // namespace finchlink
