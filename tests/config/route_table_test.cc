#include "config/route_table.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace covewing::config {

namespace {

Route route(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.pathPrefix = std::move(prefix);
  route.split = {{"s", 1}};
  return route;
}

RouteTable table() {
  RouteTableContents contents;
  contents.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                     route("other", "b.example", "/x/")};
  contents.tenants = {{"t", {"k1", "k2"}, std::nullopt, false, std::nullopt}};
  return RouteTable{contents};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RouteTableTest)

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  const auto routes = table();
  BOOST_TEST(routes.findRoute("a.example", "/x/y/z")->name == "long");
  BOOST_TEST(routes.findRoute("a.example", "/x/q")->name == "short");
  BOOST_TEST(routes.findRoute("A.Example:80", "/x/q")->name == "short");
  BOOST_TEST(routes.findRoute("b.example", "/x/y/z")->name == "other");
  BOOST_TEST((routes.findRoute("a.example", "/xy") == nullptr));
  BOOST_TEST((routes.findRoute("c.example", "/x/") == nullptr));
}

BOOST_AUTO_TEST_CASE(EachKeyOfATenantNamesIt) {
  const auto routes = table();
  BOOST_TEST(routes.findTenantByKey("k1")->name == "t");
  BOOST_TEST(routes.findTenantByKey("k2")->name == "t");
  BOOST_TEST((routes.findTenantByKey("") == nullptr));
}

BOOST_AUTO_TEST_CASE(OnlyIdempotentRequestsAndResumableStreamsMayRunAgain) {
  Route one = route("r", "h", "/");
  one.kind = RequestKind::kIdempotent;
  BOOST_TEST(one.repeatable());
  one.kind = RequestKind::kNonIdempotent;
  one.resumable = true;
  BOOST_TEST(!one.repeatable());
  one.kind = RequestKind::kStreaming;
  BOOST_TEST(one.repeatable());
  one.resumable = false;
  BOOST_TEST(!one.repeatable());
}

// Guards against cached parts of a tenant that becomes isolated being used by others: they must go
// over to a partition to which it has never written.
BOOST_AUTO_TEST_CASE(SharedCachePartitionIsThatOfTheSetOfIsolatedTenants) {
  const auto partitionBeside = [](const std::vector<std::string>& isolated) {
    RouteTableContents contents;
    contents.tenants.push_back({"shared", {}, std::nullopt, false, std::nullopt});
    for (const auto& name : isolated)
      contents.tenants.push_back({name, {}, std::nullopt, true, std::nullopt});
    return RouteTable{contents}.sharedCachePartition();
  };
  // The text of builds that know no partitions, which nothing isolated has written to.
  BOOST_TEST(partitionBeside({}) == "");
  const std::vector<std::vector<std::string>> sets = {
      {"a"}, {"b"}, {"a", "b"}, {"ab"}, {"a,b"}, {"a", "b", "c"}, {"a", "bc"}, {"1:a1:b"}};
  std::set<std::string> partitions{partitionBeside({})};
  for (const auto& set : sets) {
    BOOST_TEST(partitions.insert(partitionBeside(set)).second);
    BOOST_TEST(partitionBeside(set) == partitionBeside(set));
    BOOST_TEST(partitionBeside(set) != isolatedCachePartition(set.front()));
  }
  // All nodes agree, in whatever order the tenants are listed.
  BOOST_TEST(partitionBeside({"a", "b"}) == partitionBeside({"b", "a"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
