#include <gtest/gtest.h>

#include "config/routing/routing_config.hpp"
#include "scheduling/prompt_isolation/tenant.hpp"
#include "scheduling/route_table/route_table.hpp"

namespace finchlink {
namespace {

std::string faults_of(std::string const& tenancy, std::string const& tenants = "[]") {
  config::ParsedRoutingConfig const reading = config::native_format().read(
      R"({"number":1,"services":[{"name":"s"}],"lanes":[{"name":"l","prefix":"/a/b/","home_regions":["east"],"shares":[{"service":"s"}],"tenancy":)" +
      tenancy + "}],\"tenants\":" + tenants + "}");
  return common::describe(reading.faults);
}

TEST(Tenancy, GoodOnesHaveNoFault) {
  EXPECT_EQ(faults_of(R"({"header":"Customer"})"), "");
  EXPECT_EQ(faults_of(R"({"path_segment":3,"required":false,"public_parts":["aa","bb"]})"), "");
  EXPECT_EQ(faults_of(R"({"header":"Customer"})", R"([{"name":"t","home_regions":["west","east"]}])"), "");
}

TEST(Tenancy, FaultsAreNamedByTheirPlace) {
  EXPECT_NE(faults_of("{}").find("/lanes/0/tenancy"), std::string::npos);
  EXPECT_NE(faults_of(R"({"header":"A","path_segment":3})").find("not both"), std::string::npos);
  EXPECT_NE(faults_of(R"({"header":"A b"})").find("is no header's name"), std::string::npos);
  EXPECT_NE(faults_of(R"({"header":"Connection"})").find("/lanes/0/tenancy/header"), std::string::npos);
  EXPECT_NE(faults_of(R"({"path_segment":2})").find("stands in the lane's prefix"), std::string::npos);
  EXPECT_NE(faults_of(R"({"header":"A","public_parts":["x","x"]})").find("/public_parts/1"), std::string::npos);
  EXPECT_NE(faults_of(R"({"header":"A","public_parts":["x:1"]})").find("is no part's id"), std::string::npos);
  EXPECT_NE(
      faults_of(R"({"header":"A"})", R"([{"name":"t","home_regions":["west"]}])").find("leaves no region on lane l"),
      std::string::npos);
  EXPECT_NE(faults_of(R"({"header":"A"})", R"([{"name":"t"},{"name":"t"}])").find("/tenants/1/name"),
            std::string::npos);
  EXPECT_NE(faults_of(R"({"header":"A","unknown":1})").find("unknown"), std::string::npos);
}

TEST(Tenancy, TenantsWithoutALaneAreAFault) {
  config::ParsedRoutingConfig const reading = config::native_format().read(
      R"({"number":1,"services":[{"name":"s"}],"lanes":[{"name":"l","shares":[{"service":"s"}]}],"tenants":[{"name":"t"}]})");
  EXPECT_NE(common::describe(reading.faults).find("/tenants"), std::string::npos);
}

TEST(Tenancy, PatchesChangeTenants) {
  std::string const whole =
      R"({"number":1,"services":[{"name":"s"}],"lanes":[{"name":"l","shares":[{"service":"s"}],"tenancy":{"header":"A"}}],"tenants":[{"name":"t"}]})";
  absl::StatusOr<std::string> const merged = config::native_format().merge(
      whole, R"({"number":2,"upsert":{"tenants":[{"name":"u","home_regions":["east"]}]},"remove":{"tenants":["t"]}})");
  ASSERT_TRUE(merged.ok());
  config::ParsedRoutingConfig const reading = config::native_format().read(*merged);
  ASSERT_TRUE(reading.good()) << common::describe(reading.faults);
  scheduling::RouteTable const route_table(reading.routing_config);
  EXPECT_EQ(route_table.tenant("t"), nullptr);
  ASSERT_NE(route_table.tenant("u"), nullptr);
  EXPECT_EQ(route_table.tenant("u")->home_regions, std::vector<std::string>{"east"});
}

schema::Tenancy by_header(bool required) {
  schema::Tenancy tenancy;
  tenancy.header = "Customer";
  tenancy.required = required;
  return tenancy;
}

TEST(Tenant, IsReadFromItsHeader) {
  EXPECT_EQ(scheduling::read_tenant(by_header(true), {"acme"}, "/").name, "acme");
  EXPECT_EQ(scheduling::read_tenant(by_header(true), {}, "/").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(by_header(true), {""}, "/").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(by_header(false), {}, "/").end, scheduling::TenantStatus::absent);
  // Which of two a worker or a log would take is not known.
  EXPECT_EQ(scheduling::read_tenant(by_header(false), {"acme", "acme"}, "/").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(by_header(false), {"a b"}, "/").end, scheduling::TenantStatus::refused);
  // Two fields that somebody on the way has joined are still two.
  EXPECT_STREQ(scheduling::read_tenant(by_header(false), {"acme,other"}, "/").fault, "ambiguous_tenant");
  EXPECT_EQ(scheduling::read_tenant(by_header(false), {std::string(129, 'x')}, "/").end,
            scheduling::TenantStatus::refused);
}

TEST(Tenant, IsReadFromThePath) {
  schema::Tenancy tenancy;
  tenancy.path_segment = 2;
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v/acme/x?y=/z").name, "acme");
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v/%61cme/x").name, "acme");
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v/%6/x").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v/%00/x").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v?/acme").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v/acme/x?y=/../z").name, "acme");
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v/acme//x").name, "acme");
  EXPECT_EQ(scheduling::read_tenant(tenancy, {}, "/v/..acme/x").name, "..acme");
}

TEST(Tenant, APathThatAFrontMayReadInAnotherWayIsRefused) {
  // Who stands before us may check the tenant of the path as RFC 3986 removes
  // dots, or with slashes merged: it would let one tenant through as another.
  schema::Tenancy tenancy;
  for (bool const required : {true, false}) {
    tenancy.required = required;
    tenancy.path_segment = 2;
    for (char const* const path : {"/v/acme/../other/x", "/v/acme/./x", "/v/../v/acme/x", "/v/acme/%2e%2e/other",
                                   "/v/acme/.%2E/other", "/v/..", "/v/acme/..", "/v/%2e/x"}) {
      EXPECT_STREQ(scheduling::read_tenant(tenancy, {}, path).fault, "malformed_tenant") << path;
    }
    tenancy.path_segment = 3;
    EXPECT_STREQ(scheduling::read_tenant(tenancy, {}, "/v//acme/other").fault, "malformed_tenant");
  }
}

TEST(Tenant, OneNameInTwoRealmsIsTwoTenants) {
  schema::Tenancy lower = by_header(true);
  lower.header = "customer";
  EXPECT_EQ(scheduling::tenant_namespace_of(by_header(true), "logs"), scheduling::tenant_namespace_of(lower, "diffs"));
  schema::Tenancy path;
  path.path_segment = 3;
  EXPECT_NE(scheduling::tenant_namespace_of(path, "rides"), scheduling::tenant_namespace_of(path, "tickets"));
  EXPECT_NE(scheduling::tenant_namespace_of(path, "logs"), scheduling::tenant_namespace_of(by_header(true), "logs"));
}

TEST(Tenant, HomesOfLaneAndTenantBothBind) {
  std::vector<std::string> joined;
  EXPECT_TRUE(scheduling::intersect_homes({"a", "b"}, {"b", "c"}, joined));
  EXPECT_EQ(joined, std::vector<std::string>{"b"});
  EXPECT_TRUE(scheduling::intersect_homes({}, {"b"}, joined));
  EXPECT_EQ(joined, std::vector<std::string>{"b"});
  EXPECT_TRUE(scheduling::intersect_homes({"a"}, {}, joined));
  EXPECT_EQ(joined, std::vector<std::string>{"a"});
  EXPECT_FALSE(scheduling::intersect_homes({"a"}, {"b"}, joined));
}

}  // namespace
}  // namespace finchlink
