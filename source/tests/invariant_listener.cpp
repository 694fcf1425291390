#include "tests/invariant_listener.hpp"

#include <gtest/gtest.h>

namespace finchlink {
namespace {

using Counts = std::map<common::Invariant, std::uint64_t>;

/// Violations of the running test that were counted in a scope of ExpectedViolations.
Counts& expected() {
  static Counts counts;
  return counts;
}

/// Fails each test during which an invariant was violated outside such a scope.
/// GoogleTest requires listeners to be derived classes.
class InvariantListener : public testing::EmptyTestEventListener {
 public:
  void OnTestStart(testing::TestInfo const& /*test*/) override {
    expected().clear();
    (void)common::take_violations();
    for (common::InvariantEntry const& entry : common::invariant_catalogue()) {
      before_[entry.invariant] = common::violation_count(entry.invariant);
    }
  }

  void OnTestEnd(testing::TestInfo const& /*test*/) override {
    std::string details;
    for (common::InvariantViolation const& violation : common::take_violations()) {
      details += std::string("\n  ") + common::name_of(violation.invariant) + ": " + violation.detail;
    }
    for (common::InvariantEntry const& entry : common::invariant_catalogue()) {
      std::uint64_t const rose = common::violation_count(entry.invariant) - before_[entry.invariant];
      EXPECT_EQ(rose, expected()[entry.invariant]) << "violations of invariant " << entry.name << details;
    }
  }

 private:
  Counts before_;
};

/// Registered before main(), since the tests use GoogleTest's own. GoogleTest owns the listener.
bool const appended = [] {
  testing::UnitTest::GetInstance()->listeners().Append(new InvariantListener());
  return true;
}();

}  // namespace

ExpectedViolations::ExpectedViolations(std::initializer_list<common::Invariant> invariants, bool in_force)
    : in_force_(in_force) {
  for (common::Invariant const invariant : invariants) {
    before_[invariant] = common::violation_count(invariant);
  }
}

ExpectedViolations::~ExpectedViolations() {
  for (std::pair<common::Invariant const, std::uint64_t> const& entry : before_) {
    expected()[entry.first] += in_force_ ? count(entry.first) : 0;
  }
}

std::uint64_t ExpectedViolations::count(common::Invariant invariant) const {
  return common::violation_count(invariant) - before_.at(invariant);
}

}  // namespace finchlink
