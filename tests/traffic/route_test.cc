#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

RouteRule NamedRoute(const std::string& name, const std::string& prefix) {
  RouteRule route = MakeSingleRoute(RequestKind::kIdempotent);
  route.name_ = name;
  route.path_prefix_ = prefix;
  return route;
}

// Guards against requests that are routed by a shorter prefix.
TEST_CASE("the longest prefix of the host wins", "[route]") {
  TrafficConfiguration configuration;
  AddRoute(configuration, NamedRoute("short", "/a/"));
  AddRoute(configuration, NamedRoute("long", "/a/b/"));
  AddRoute(configuration, NamedRoute("middle", "/a/bc/"));
  const auto name = [&configuration](const std::string& target) {
    const RouteRule* route =
        FindRoute(configuration, "Docket.Example:8080", target);
    return route ? route->name_ : std::string("none");
  };
  CHECK(name("/a/b/c") == "long");
  CHECK(name("/a/bc/d?x=/a/b/") == "middle");
  CHECK(name("/a/x") == "short");
  CHECK(name("/a") == "none");
  CHECK(name("/?/a/") == "none");
  CHECK(FindRoute(configuration, "other.example", "/a/b/") == nullptr);
}

// Guards against weights that are only met on average over a long time.
TEST_CASE("destinations get their share of every hundred requests", "[route]") {
  RouteRule route = MakeSingleRoute(RequestKind::kIdempotent);
  route.destinations_ = {{"old", 9.0}, {"new", 1.0}};
  Fleet fleet({route});
  int to_new = 0;
  for (int i = 0; i < 100; ++i) {
    const Query query =
        StartQuery(fleet.state_, fleet.Route("docket.example", "/case/1"), "id",
                   seconds(5), At(milliseconds(i)));
    to_new += query.parts_.front().service_->name_ == "new" ? 1 : 0;
  }
  CHECK(to_new == 10);
}

}  // namespace
}  // namespace clementinerill::traffic
