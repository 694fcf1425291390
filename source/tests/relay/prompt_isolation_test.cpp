#include <gtest/gtest.h>

#include <fstream>

#include "data_plane/relay/prompt_isolation.hpp"
#include "tests/relay/fleet.hpp"

namespace finchlink::relay_test {
namespace {

std::string tenant(std::string const& name) {
  return "Customer: " + name + "\r\n";
}
std::string parts(std::string const& text) {
  return "Finchlink-Tokens: 300,4\r\nFinchlink-Model: m\r\nFinchlink-Parts: " + text + "\r\n";
}

/// A relay whose route "plain" has tenants, with a secrets file.
struct IsolatedFleet {
  Fleet fleet;
  std::string path;
  Worker* worker = nullptr;
  std::size_t asked = 0;
  explicit IsolatedFleet(bool with_secrets = true) {
    path = testing::TempDir() + "finchlink-secrets-" + std::to_string(getpid());
    write(std::string(32, 'a'));
    fleet.settings.secrets_file = with_secrets ? path : "";
    schema::Tenancy tenancy;
    tenancy.header = "Customer";
    tenancy.public_parts = {"p"};
    fleet.routing_config.lanes[0].tenancy = tenancy;
    fleet.routing_config.lanes[0].shares = {schema::Share{"pool", 1}};
    worker = &fleet.worker("w1", "pool");
    fleet.begin();
    EXPECT_TRUE(fleet.until([&] { return fleet.server->isolation().has_secrets() == with_secrets; }));
  }
  ~IsolatedFleet() { std::remove(path.c_str()); }
  void write(std::string const& secret) const { std::ofstream(path) << "{\"current\":\"" << secret << "\"}"; }
  /// Sends a query, responds to it, and returns what reached the worker.
  Arrival ask(std::string const& more, std::string const& said = "Finchlink-Weights: v1\r\n",
              std::string const& path_asked = "/plain/a") {
    std::string const id = "q" + std::to_string(++asked);
    std::shared_ptr<Line> const caller = fleet.call(query(path_asked, id, "body", more));
    EXPECT_TRUE(fleet.arrived(*worker, asked));
    if (worker->arrivals.size() < asked) {
      return Arrival{};
    }
    Arrival const arrival = worker->arrivals.back();
    arrival.line->send(success(id, "good", said));
    std::optional<Response> const answer = fleet.answer_on(caller);
    EXPECT_TRUE(answer.has_value() && answer->result_int() == 200u);
    return arrival;
  }
};

TEST(RelayPromptIsolation, WithoutATenantItIsRefusedBeforeItsBodyIsRead) {
  IsolatedFleet isolated;
  for (std::string const& more : {std::string(), tenant("a") + tenant("b"), tenant(""), tenant("a b")}) {
    std::shared_ptr<Line> const caller =
        isolated.fleet.call("POST /plain/a HTTP/1.1\r\nHost: h.example\r\nFinchlink-Query: q\r\n" + more +
                            "Content-Length: 100000\r\n\r\n");
    std::optional<Response> const answer = isolated.fleet.answer_on(caller, 2000);
    ASSERT_TRUE(answer.has_value()) << more;
    EXPECT_EQ(answer->result_int(), 400u) << more;
    EXPECT_EQ((*answer)["Finchlink-Query"], "q");
    EXPECT_TRUE(isolated.fleet.until([&] { return caller->ended; }, 2000)) << "the connection must be closed";
  }
  isolated.fleet.run_for(50);
  EXPECT_TRUE(isolated.worker->arrivals.empty());
}

TEST(RelayPromptIsolation, ABodyThatIsSentAnywayDoesNotLoseTheResponse) {
  IsolatedFleet isolated;
  std::shared_ptr<Line> const caller = isolated.fleet.call(query("/plain/a", "q", std::string(30000, 'x')));
  isolated.fleet.run_for(100);
  std::optional<Response> const answer = isolated.fleet.answer_on(caller, 2000);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 400u);
}

/// A query whose trailer names a tenant and other parts.
std::string with_trailer(std::string const& header) {
  return "POST /plain/a HTTP/1.1\r\nHost: h.example\r\nFinchlink-Query: q\r\n" + header + parts("x:100") +
         "Transfer-Encoding: chunked\r\nTrailer: Customer\r\n\r\n2\r\nhi\r\n0\r\n" + tenant("b") +
         "Finchlink-Parts: y:100\r\nFinchlink-Model: n\r\n\r\n";
}

TEST(RelayPromptIsolation, ATrailerNamesNoSecondTenant) {
  IsolatedFleet isolated;
  std::string const keyed = (isolated.ask(tenant("a") + parts("x:100")),
                             isolated.ask(tenant("a") + parts("x:100")).header("Finchlink-Parts"));
  std::shared_ptr<Line> const caller = isolated.fleet.call(with_trailer(tenant("a")));
  ASSERT_TRUE(isolated.fleet.arrived(*isolated.worker, ++isolated.asked));
  Arrival const& arrival = isolated.worker->arrivals.back();
  EXPECT_EQ(arrival.request.count("Customer"), 1u);
  EXPECT_EQ(arrival.request.count("Finchlink-Model"), 1u);
  EXPECT_EQ(arrival.header("Finchlink-Parts"), keyed);
}

TEST(RelayPromptIsolation, ATrailerNamesNoTenantWhereNoneIsRequired) {
  // The header is set by a gateway before the relay; a trailer isn't.
  IsolatedFleet isolated;
  isolated.fleet.routing_config.lanes[0].tenancy->required = false;
  isolated.fleet.routing_config.number = 2;
  isolated.fleet.publish_routing_config(2);
  ASSERT_TRUE(isolated.fleet.until([&] { return isolated.fleet.server->route_table()->routing_config().number == 2; }));
  std::string const of_b = (isolated.ask(tenant("b") + parts("x:100")),
                            isolated.ask(tenant("b") + parts("x:100")).header("Finchlink-Parts"));
  std::shared_ptr<Line> const caller = isolated.fleet.call(with_trailer(""));
  ASSERT_TRUE(isolated.fleet.arrived(*isolated.worker, ++isolated.asked));
  EXPECT_NE(isolated.worker->arrivals.back().header("Finchlink-Parts"), of_b);
  EXPECT_EQ(isolated.fleet.server->isolation().tallies().at("b").queries, 2u);
}

TEST(RelayPromptIsolation, IdsOfCallersNeverReachWorkers) {
  IsolatedFleet isolated;
  std::string const prompt = parts("p:100,x:100,y:100") + "Finchlink-Parts: z:5\r\nFinchlink-Expect-Weights: v9\r\n";
  Arrival const cold = isolated.ask(tenant("a") + prompt);
  EXPECT_EQ(cold.header("Finchlink-Expect-Weights"), "");
  EXPECT_EQ(cold.request.count("Finchlink-Parts"), 1u);
  Arrival const first = isolated.ask(tenant("a") + prompt);
  Arrival const again = isolated.ask(tenant("a") + prompt);
  Arrival const other = isolated.ask(tenant("b") + prompt);
  EXPECT_EQ(first.header("Finchlink-Expect-Weights"), "v1");
  EXPECT_EQ(first.header("Finchlink-Parts"), again.header("Finchlink-Parts"));
  std::vector<scheduling::NamedPart> const of_cold = scheduling::parse_parts(cold.header("Finchlink-Parts"));
  std::vector<scheduling::NamedPart> const of_a = scheduling::parse_parts(first.header("Finchlink-Parts"));
  std::vector<scheduling::NamedPart> const of_b = scheduling::parse_parts(other.header("Finchlink-Parts"));
  ASSERT_EQ(of_a.size(), 3u);
  ASSERT_EQ(of_b.size(), 3u);
  ASSERT_EQ(of_cold.size(), 3u);
  EXPECT_EQ(of_a[0].id, of_b[0].id) << "public";
  for (std::size_t index = 1; index < 3; ++index) {
    EXPECT_NE(of_a[index].id, of_b[index].id);
    EXPECT_NE(of_a[index].id, of_cold[index].id);
    EXPECT_EQ(of_a[index].id.size(), 32u);
  }
  for (Arrival const& arrival : isolated.worker->arrivals) {
    for (scheduling::NamedPart const& part : scheduling::parse_parts(arrival.header("Finchlink-Parts"))) {
      EXPECT_GT(part.id.size(), 16u) << part.id;
    }
  }
}

TEST(RelayPromptIsolation, AnotherSecretChangesAllPartIds) {
  IsolatedFleet isolated;
  std::string const prompt = tenant("a") + parts("x:100");
  (void)isolated.ask(prompt);
  std::string const before = isolated.ask(prompt).header("Finchlink-Parts");
  isolated.write(std::string(40, 'b'));
  std::string after = before;
  for (int round = 0; round < 40 && after == before; ++round) {
    isolated.fleet.run_for(100);
    after = isolated.ask(prompt).header("Finchlink-Parts");
  }
  EXPECT_NE(after, before);
  isolated.write("short");  // invalid: changes nothing
  isolated.fleet.run_for(1500);
  EXPECT_EQ(isolated.ask(prompt).header("Finchlink-Parts"), after);
}

TEST(RelayPromptIsolation, WithoutASecretNothingIsCached) {
  IsolatedFleet isolated(false);
  std::string const prompt = tenant("a") + parts("p:50,x:100");
  (void)isolated.ask(prompt);
  Arrival const one = isolated.ask(prompt);
  Arrival const two = isolated.ask(prompt);
  EXPECT_NE(one.header("Finchlink-Parts"), two.header("Finchlink-Parts"));
  EXPECT_EQ(one.header("Finchlink-Parts").find("p:"), std::string::npos);
}

TEST(RelayPromptIsolation, ChangedWeightsOfAWorkerAreNoticed) {
  IsolatedFleet isolated;
  std::string const prompt = tenant("a") + parts("x:100");
  (void)isolated.ask(prompt);
  std::string const before = isolated.ask(prompt).header("Finchlink-Parts");
  std::shared_ptr<Line> const caller = isolated.fleet.call(query("/plain/a", "other", "body", prompt));
  ASSERT_TRUE(isolated.fleet.arrived(*isolated.worker, ++isolated.asked));
  EXPECT_EQ(isolated.worker->arrivals.back().header("Finchlink-Expect-Weights"), "v1");
  isolated.worker->arrivals.back().line->send(
      "HTTP/1.1 421 Misdirected Request\r\n" + with_id("other") +
      "Finchlink-Refused: 1\r\nFinchlink-Weights: v2\r\nContent-Length: 0\r\n\r\n");
  std::optional<Response> const answer = isolated.fleet.answer_on(caller);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 503u) << "no other worker was there, and nothing ran";
  isolated.fleet.run_for(250);
  Arrival const after = isolated.ask(prompt, "Finchlink-Weights: v2\r\n");
  EXPECT_EQ(after.header("Finchlink-Expect-Weights"), "v2");
  EXPECT_NE(after.header("Finchlink-Parts"), before);
}

TEST(RelayPromptIsolation, OtherSpellingsOfTheRelaysHeadersDoNotReachWorkers) {
  // Some servers treat "_" as "-" in a header's name.
  IsolatedFleet isolated;
  Arrival const arrival =
      isolated.ask("CUSTOMER:   a  \r\n" + parts("x:100") +
                   "Finchlink_Parts: y:100\r\nfinchlink_expect-weights: v9\r\nFINCHLINK-PARTS: z:5\r\n");
  EXPECT_EQ(arrival.request.count("Finchlink_Parts"), 0u);
  EXPECT_EQ(arrival.request.count("finchlink_expect-weights"), 0u);
  EXPECT_EQ(arrival.request.count("Finchlink-Parts"), 1u);
  EXPECT_EQ(isolated.fleet.server->isolation().tallies().at("a").queries, 1u);
}

TEST(RelayPromptIsolation, PartIdsAreNotReturnedToCallers) {
  IsolatedFleet isolated;
  (void)isolated.ask(tenant("a") + parts("x:100"));
  std::shared_ptr<Line> const caller = isolated.fleet.call(query("/plain/a", "echo", "", tenant("a") + parts("x:100")));
  ASSERT_TRUE(isolated.fleet.arrived(*isolated.worker, ++isolated.asked));
  std::string const ids = isolated.worker->arrivals.back().header("Finchlink-Parts");
  isolated.worker->arrivals.back().line->send(
      success("echo", "good", "Finchlink-Weights: v1\r\nFinchlink-Parts: " + ids + "\r\n"));
  std::optional<Response> const answer = isolated.fleet.answer_on(caller);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 200u);
  EXPECT_EQ(answer->count("Finchlink-Parts"), 0u);
}

TEST(RelayPromptIsolation, TwoModelHeadersCountAsAModelOfTheirOwn) {
  IsolatedFleet isolated;
  (void)isolated.ask(tenant("a") + parts("x:100"));
  std::string const one = isolated.ask(tenant("a") + parts("x:100")).header("Finchlink-Parts");
  EXPECT_NE(isolated.ask(tenant("a") + parts("x:100") + "Finchlink-Model: n\r\n").header("Finchlink-Parts"), one);
}

TEST(RelayPromptIsolation, AWorkerThatRanWithOtherWeightsIsReported) {
  IsolatedFleet isolated;
  std::string const prompt = tenant("a") + parts("x:100");
  (void)isolated.ask(prompt);
  std::string const before = isolated.ask(prompt).header("Finchlink-Parts");
  (void)isolated.ask(prompt, "Finchlink-Weights: v2\r\n");
  EXPECT_EQ(isolated.fleet.server->isolation().other_weights(), 1u);
  EXPECT_NE(data_plane::print_isolation_metrics(isolated.fleet.server->isolation())
                .find("relay_wall_other_weights_total 1\n"),
            std::string::npos);
  (void)isolated.ask(prompt, "Finchlink-Weights: v1\r\n");  // it returns to the old weights, and is reported again
  Arrival const cold = isolated.ask(prompt, "Finchlink-Weights: v1\r\n");
  EXPECT_NE(cold.header("Finchlink-Parts"), before) << "what is cached under v1's ids is unknown";
  EXPECT_EQ(cold.header("Finchlink-Expect-Weights"), "");
}

TEST(RelayPromptIsolation, TheSameTenantNameOnTwoRoutesIsTwoTenants) {
  IsolatedFleet isolated;
  schema::Tenancy by_path;
  by_path.path_segment = 2;
  isolated.fleet.routing_config.lanes[1].tenancy = by_path;
  isolated.fleet.routing_config.lanes[1].shares = {schema::Share{"pool", 1}};
  isolated.fleet.routing_config.number = 2;
  isolated.fleet.publish_routing_config(2);
  ASSERT_TRUE(isolated.fleet.until([&] { return isolated.fleet.server->route_table()->routing_config().number == 2; }));
  (void)isolated.ask(tenant("7") + parts("x:100"));
  std::string const of_customer = isolated.ask(tenant("7") + parts("x:100")).header("Finchlink-Parts");
  Arrival const of_rider = isolated.ask(parts("x:100"), "Finchlink-Weights: v1\r\n", "/once/7");
  EXPECT_EQ(of_rider.header("Finchlink-Expect-Weights"), "v1") << "keyed";
  EXPECT_NE(of_rider.header("Finchlink-Parts"), of_customer);
}

TEST(RelayPromptIsolation, ARouteWithoutTenantsForwardsItsCallersIds) {
  // Its ids are chosen by its callers, who can't produce the 128 bits of a keyed hash.
  IsolatedFleet isolated;
  isolated.fleet.routing_config.lanes[1].shares = {schema::Share{"pool", 1}};
  isolated.fleet.routing_config.number = 2;
  isolated.fleet.publish_routing_config(2);
  ASSERT_TRUE(isolated.fleet.until([&] { return isolated.fleet.server->route_table()->routing_config().number == 2; }));
  (void)isolated.ask(tenant("a") + parts("p:50,x:100"));
  std::string const of_a = isolated.ask(tenant("a") + parts("p:50,x:100")).header("Finchlink-Parts");
  EXPECT_EQ(isolated.ask(parts("p:50,x:100"), "Finchlink-Weights: v1\r\n", "/once/a").header("Finchlink-Parts"),
            "p:50,x:100")
      << "not even public parts are shared with it";
  for (scheduling::NamedPart const& part : scheduling::parse_parts(of_a)) {
    EXPECT_TRUE(part.id != "p" && part.id != "x");
  }
}

TEST(RelayPromptIsolation, ACutStreamIsResumedUnderTheSamePartIds) {
  Fleet fleet;
  std::string const path = testing::TempDir() + "finchlink-secrets-resumed-" + std::to_string(getpid());
  std::ofstream(path) << "{\"current\":\"" << std::string(32, 'a') << "\"}";
  fleet.settings.secrets_file = path;
  schema::Tenancy tenancy;
  tenancy.header = "Customer";
  fleet.routing_config.lanes[3].tenancy = tenancy;
  fleet.worker("w1", "pool");
  fleet.worker("w2", "pool");
  fleet.begin();
  ASSERT_TRUE(fleet.until([&] { return fleet.server->isolation().has_secrets(); }));
  std::size_t seen = 0;
  std::function<std::string(std::string const&, std::string const&, Worker*)> const whole =
      [&](std::string const& name, std::string const& version, Worker* wanted) {
        // Until the wanted worker got one: placement may choose any.
        for (int round = 0; round < 20; ++round) {
          std::string const id = "warm" + std::to_string(++seen);
          std::shared_ptr<Line> const caller =
              fleet.call(query("/tale/a", id, "", tenant(name) + parts("x" + id + ":100")));
          Worker* const at = fleet.worker_of(seen);
          if (at == nullptr) {
            return std::string();
          }
          Arrival const& arrival = at->arrivals.back();
          arrival.line->send(stream_head(id, "Finchlink-Weights: " + version + "\r\n") + chunk(event(1)) + "0\r\n\r\n");
          (void)fleet.until([&] { return received_stream(caller->got).whole; });
          if (at == wanted) {
            return arrival.header("Finchlink-Parts");
          }
        }
        return std::string();
      };
  ASSERT_NE(whole("warm", "v1", fleet.workers["w1"].get()), "");
  ASSERT_NE(whole("warm", "v1", fleet.workers["w2"].get()), "");
  std::shared_ptr<Line> const caller = fleet.call(query("/tale/a", "cut", "", tenant("a") + parts("x:100,y:50")));
  Worker* const first = fleet.worker_of(++seen);
  ASSERT_NE(first, nullptr);
  std::string const ids = first->arrivals.back().header("Finchlink-Parts");
  first->arrivals.back().line->send(stream_head("cut", "Finchlink-Weights: v1\r\n") + chunk(event(1)));
  ASSERT_TRUE(fleet.until([&] { return !received_stream(caller->got).events.empty(); }));
  first->arrivals.back().line->reset();
  Worker* const second = fleet.worker_of(++seen);
  ASSERT_NE(second, nullptr);
  ASSERT_NE(second, first);
  EXPECT_EQ(second->arrivals.back().header("Finchlink-Parts"), ids) << "its own, and nobody else's";
  EXPECT_EQ(second->arrivals.back().header("Finchlink-Expect-Weights"), "v1");
  // That worker has other weights by now: nothing ran, and no third one may be asked under v1's ids.
  second->arrivals.back().line->send("HTTP/1.1 421 Misdirected Request\r\n" + with_id("cut") +
                                     "Finchlink-Refused: 1\r\nFinchlink-Weights: v2\r\nContent-Length: 0\r\n\r\n");
  (void)fleet.until([&] { return caller->ended; }, 3000);
  for (std::pair<std::string const, std::unique_ptr<Worker>>& entry : fleet.workers) {
    for (Arrival const& arrival : entry.second->arrivals) {
      EXPECT_EQ(arrival.header("Finchlink-Parts").find("x:"), std::string::npos);
    }
  }
  std::remove(path.c_str());
}

TEST(RelayPromptIsolation, AnIsolationViolationIsCountedAndReported) {
  IsolatedFleet isolated;
  (void)isolated.ask(tenant("a") + parts("x:100,y:100"), "Finchlink-Weights: v1\r\nFinchlink-Reused: 100\r\n");
  EXPECT_EQ(isolated.fleet.server->isolation().crossings(), 1u);
  EXPECT_NE(
      data_plane::print_isolation_metrics(isolated.fleet.server->isolation()).find("relay_wall_crossings_total 1\n"),
      std::string::npos);
  (void)isolated.ask(tenant("a") + parts("x:100,y:100"), "Finchlink-Weights: v1\r\nFinchlink-Reused: 0\r\n");
  (void)isolated.ask(tenant("a") + parts("x:100,y:100"), "Finchlink-Weights: v1\r\nFinchlink-Reused: 200\r\n");
  EXPECT_EQ(isolated.fleet.server->isolation().crossings(), 1u) << "its own cache is no violation";
  scheduling::TenantTally const tally = isolated.fleet.server->isolation().tallies().at("a");
  EXPECT_EQ(tally.queries, 3u);
  EXPECT_EQ(tally.cold, 1u);
  EXPECT_EQ(tally.reused, 300);
}

TEST(RelayPromptIsolation, RoutesWithoutTenantsAreUnchanged) {
  IsolatedFleet isolated;
  isolated.fleet.routing_config.lanes[0].tenancy.reset();
  isolated.fleet.routing_config.number = 2;
  isolated.fleet.publish_routing_config(2);
  ASSERT_TRUE(isolated.fleet.until([&] { return isolated.fleet.server->route_table()->routing_config().number == 2; }));
  Arrival const arrival = isolated.ask(parts("x:100,y:100"));
  EXPECT_EQ(arrival.header("Finchlink-Parts"), "x:100,y:100");
  EXPECT_EQ(arrival.header("Finchlink-Expect-Weights"), "");
  EXPECT_TRUE(isolated.fleet.server->isolation().tallies().empty());
}

TEST(RelayPromptIsolation, ARoutingConfigThatRequiresATenantMeanwhileApplies) {
  Fleet fleet;
  fleet.routing_config.lanes[0].set_point_ms = 20000;  // it may wait for a place
  fleet.routing_config.lanes[0].deadline_ms = 10000;
  fleet.begin();
  std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", "q1", "x"));
  fleet.run_for(50);
  schema::Tenancy tenancy;
  tenancy.header = "Customer";
  fleet.routing_config.lanes[0].tenancy = tenancy;
  fleet.routing_config.number = 2;
  fleet.publish_routing_config(2);
  std::optional<Response> const answer = fleet.answer_on(caller);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 400u);
}

TEST(RelayPromptIsolation, ATenantIsServedOnlyInItsHomeRegions) {
  Fleet fleet;
  schema::Tenancy tenancy;
  tenancy.header = "Customer";
  fleet.routing_config.lanes[0].tenancy = tenancy;
  fleet.routing_config.tenants = {schema::Tenant{"corkonian", {"cork"}}};
  Worker& near = fleet.worker("w1", "web", "north");
  Worker& away = fleet.worker("w2", "web", "far");
  fleet.begin();
  for (std::size_t count = 1; count <= 4; ++count) {
    std::string const id = "q" + std::to_string(count);
    std::shared_ptr<Line> const caller = fleet.call(query("/plain/a", id, "", tenant("corkonian")));
    ASSERT_TRUE(fleet.arrived(away, count));
    away.arrivals.back().line->send(success(id, "good"));
    std::optional<Response> const answer = fleet.answer_on(caller);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->result_int(), 200u);
  }
  EXPECT_TRUE(near.arrivals.empty());
}

}  // namespace
}  // namespace finchlink::relay_test
