#include <gtest/gtest.h>

#include "config/routing/routing_config.hpp"
#include "scheduling/prompt_isolation/tenant.hpp"
#include "scheduling/route_table/route_table.hpp"

namespace finchlink {
namespace {

/// Validation errors of a configuration with this tenancy and these tenants; empty if there are none.
std::string faults_of(std::string const& tenancy, std::string const& tenants = "[]") {
  config::ParsedRoutingConfig const parsed = config::native_format().read(
      R"({"number":1,"services":[{"name":"s"}],"lanes":[{"name":"l","prefix":"/a/b/","home_regions":["east"],"shares":[{"service":"s"}],"tenancy":)" +
      tenancy + "}],\"tenants\":" + tenants + "}");
  return common::describe(parsed.faults);
}

TEST(Tenancy, ValidOnesHaveNoFault) {
  EXPECT_EQ(faults_of(R"({"header":"Customer"})"), "");
  EXPECT_EQ(faults_of(R"({"path_segment":3,"required":false,"public_parts":["aa","bb"]})"), "");
  EXPECT_EQ(faults_of(R"({"header":"Customer"})", R"([{"name":"t","home_regions":["west","east"]}])"), "");
}

TEST(Tenancy, FaultsNameTheirPath) {
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

/// Guards against a prefix whose missing slashes hide that all its paths share a segment.
TEST(Tenancy, ASegmentOfAPrefixWithoutSlashesNamesNoTenant) {
  for (std::string const prefix : {"/a/", "/a", "a/", "a"}) {
    config::ParsedRoutingConfig const parsed = config::native_format().read(
        R"({"number":1,"services":[{"name":"s"}],"lanes":[{"name":"l","shares":[{"service":"s"}],"deadline_ms":1,"prefix":")" +
        prefix + R"(","tenancy":{"path_segment":1}}]})");
    EXPECT_NE(common::describe(parsed.faults).find("stands in the lane's prefix"), std::string::npos) << prefix;
  }
}

TEST(Tenancy, TenantsWithoutATenancyRouteAreAFault) {
  config::ParsedRoutingConfig const parsed = config::native_format().read(
      R"({"number":1,"services":[{"name":"s"}],"lanes":[{"name":"l","shares":[{"service":"s"}]}],"tenants":[{"name":"t"}]})");
  EXPECT_NE(common::describe(parsed.faults).find("/tenants"), std::string::npos);
}

TEST(Tenancy, PatchesChangeTenants) {
  std::string const whole =
      R"({"number":1,"services":[{"name":"s"}],"lanes":[{"name":"l","shares":[{"service":"s"}],"tenancy":{"header":"A"}}],"tenants":[{"name":"t"}]})";
  absl::StatusOr<std::string> const merged = config::native_format().merge(
      whole, R"({"number":2,"upsert":{"tenants":[{"name":"u","home_regions":["east"]}]},"remove":{"tenants":["t"]}})");
  ASSERT_TRUE(merged.ok());
  config::ParsedRoutingConfig const parsed = config::native_format().read(*merged);
  ASSERT_TRUE(parsed.good()) << common::describe(parsed.faults);
  scheduling::RouteTable const route_table(parsed.routing_config);
  EXPECT_EQ(route_table.tenant("t"), nullptr);
  ASSERT_NE(route_table.tenant("u"), nullptr);
  EXPECT_EQ(route_table.tenant("u")->home_regions, std::vector<std::string>{"east"});
}

schema::Tenancy header_tenancy(bool required) {
  schema::Tenancy tenancy;
  tenancy.header = "Customer";
  tenancy.required = required;
  return tenancy;
}

TEST(Tenant, IsReadFromItsHeader) {
  EXPECT_EQ(scheduling::read_tenant(header_tenancy(true), {"acme"}, "/").name, "acme");
  EXPECT_EQ(scheduling::read_tenant(header_tenancy(true), {}, "/").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(header_tenancy(true), {""}, "/").end, scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(header_tenancy(false), {}, "/").end, scheduling::TenantStatus::absent);
  // With two header fields, a worker or a log may use either of them.
  EXPECT_EQ(scheduling::read_tenant(header_tenancy(false), {"acme", "acme"}, "/").end,
            scheduling::TenantStatus::refused);
  EXPECT_EQ(scheduling::read_tenant(header_tenancy(false), {"a b"}, "/").end, scheduling::TenantStatus::refused);
  // Two fields that an intermediary joined into one are still two.
  EXPECT_STREQ(scheduling::read_tenant(header_tenancy(false), {"acme,other"}, "/").fault, "ambiguous_tenant");
  EXPECT_EQ(scheduling::read_tenant(header_tenancy(false), {std::string(129, 'x')}, "/").end,
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

TEST(Tenant, PathThatAFrontProxyMayReadDifferentlyIsRejected) {
  // A front proxy may authorize the tenant of the path after it removed dot
  // segments (RFC 3986) or merged slashes: one tenant would pass as another.
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

TEST(Tenant, OneNameInTwoNamespacesIsTwoTenants) {
  schema::Tenancy lower = header_tenancy(true);
  lower.header = "customer";
  EXPECT_EQ(scheduling::tenant_namespace_of(header_tenancy(true), "logs"),
            scheduling::tenant_namespace_of(lower, "diffs"));
  schema::Tenancy path;
  path.path_segment = 3;
  EXPECT_NE(scheduling::tenant_namespace_of(path, "rides"), scheduling::tenant_namespace_of(path, "tickets"));
  EXPECT_NE(scheduling::tenant_namespace_of(path, "logs"),
            scheduling::tenant_namespace_of(header_tenancy(true), "logs"));
}

TEST(Tenant, HomeRegionsOfRouteAndTenantAreIntersected) {
  std::vector<std::string> regions;
  EXPECT_TRUE(scheduling::intersect_homes({"a", "b"}, {"b", "c"}, regions));
  EXPECT_EQ(regions, std::vector<std::string>{"b"});
  EXPECT_TRUE(scheduling::intersect_homes({}, {"b"}, regions));
  EXPECT_EQ(regions, std::vector<std::string>{"b"});
  EXPECT_TRUE(scheduling::intersect_homes({"a"}, {}, regions));
  EXPECT_EQ(regions, std::vector<std::string>{"a"});
  EXPECT_FALSE(scheduling::intersect_homes({"a"}, {"b"}, regions));
}

}  // namespace
}  // namespace finchlink
