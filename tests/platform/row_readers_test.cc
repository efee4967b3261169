// Parsing of the rows of the platform's table service.
#include "platform/row_readers.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace covewing::platform {

namespace {

constexpr std::string_view kConfiguration = R"({"version":7,"routes":[
{"name":"r1","host":"jepu9.example","path_prefix":"/lepu270/","kind":"streaming","timeout_ms":6000,
 "target_latency_ms":800,"priority":1,"split":[{"service":"huvo11a","weight":90},
 {"service":"kafi81c","weight":10}],"attempts":2,"public":false,"sticky":true,"resumable":true,
 "gap_target_ms":500},
{"name":"r2","host":"voka93.example","path_prefix":"/x/","kind":"non_idempotent","timeout_ms":2000,
 "target_latency_ms":300,"priority":2,"service":"kafi81c","attempts":1,"public":true}],
"services":[{"name":"huvo11a","health_path":"/health","connection_limit":360,"engine":{"slots":64,
 "kv_cache_tokens":110556,"max_concurrency":12,"models":[{"name":"daka510000"}]}},
 {"name":"kafi81c","connection_limit":100},
 {"name":"wuno96b","kv_store_address":"172.20.0.2:8781","zone":"z1","max_concurrency":12}],
"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000},
"tenants":[{"name":"sese880","keys":["k1","k2"],"priority":1,"isolated":true,"unit":"tokens",
 "uncached_tokens":200,"rate_per_s":614191,"burst":352760},
 {"name":"free","keys":["k3"],"rate_per_s":0,"burst":10},
 {"name":"counted","keys":["k4"],"rate_per_s":12.5}]})";

std::string reasonFor(std::string_view value) {
  base::Reason reason;
  BOOST_TEST(!ConfigurationReader{}.readRouteTable(value, reason).has_value());
  return reason.detail;
}

/// An entry as replicas write it.
nlohmann::json replicaEntry() {
  return {{"service", "huvo11a"},
          {"address", "10.128.0.9:8080"},
          {"zone", "z1"},
          {"version", "v1"},
          {"slots", 64},
          {"state", "ready"},
          {"cold_remaining_ms", 120.5},
          {"models", {{{"name", "daka510000"}, {"version", 4}, {"adapters", {"a1"}}}}},
          {"sequence", 12},
          {"born", 1'764'720'000'000}};
}

/// The reason why the entry is rejected; empty if it is accepted.
std::string reasonForReplica(std::string_view value) {
  base::Reason reason;
  const auto replica = ReplicaReader{}.readReplica("i-7f3a91c2", value, reason);
  BOOST_TEST(replica.has_value() == reason.detail.empty());
  return reason.detail;
}

std::string reasonWith(const char* field, const nlohmann::json& value) {
  auto entry = replicaEntry();
  entry[field] = value;
  return reasonForReplica(entry.dump());
}

std::string reasonWithout(const char* field) {
  auto entry = replicaEntry();
  entry.erase(field);
  return reasonForReplica(entry.dump());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RowReadersTest)

BOOST_AUTO_TEST_CASE(ConfigurationIsReadCompletely) {
  base::Reason reason;
  const auto contents = ConfigurationReader{}.readRouteTable(kConfiguration, reason);
  BOOST_REQUIRE(contents.has_value());
  BOOST_TEST(contents->version == 7U);
  const auto& streaming = contents->routes[0];
  BOOST_TEST(streaming.resumable);
  BOOST_TEST((streaming.kind == config::RequestKind::kStreaming));
  BOOST_TEST((streaming.gapTarget == std::chrono::milliseconds(500)));
  BOOST_TEST((streaming.firstEventPatience == std::chrono::seconds(4)));
  BOOST_TEST((contents->routes[1].firstEventPatience == base::Duration::zero()));
  BOOST_TEST(streaming.split.size() == 2U);
  BOOST_TEST(streaming.split[0].weight == 90U);
  BOOST_TEST(contents->routes[1].split[0].service == "kafi81c");
  BOOST_TEST(contents->routes[1].isPublic);
  BOOST_TEST(contents->services[0].engine->eventWatchers == 12U);
  BOOST_TEST(contents->services[2].cacheStore->zone == "z1");
  BOOST_TEST((contents->limits.idleTimeout == std::chrono::seconds(15)));
  BOOST_TEST(contents->tenants[0].isolated);
  BOOST_TEST(contents->tenants[0].keys.size() == 2U);
}

BOOST_AUTO_TEST_CASE(TenantRateLimitIsReadInItsUnit) {
  base::Reason reason;
  const auto contents = ConfigurationReader{}.readRouteTable(kConfiguration, reason);
  BOOST_REQUIRE(contents.has_value());
  const auto& inTokens = contents->tenants[0].rate;
  BOOST_REQUIRE(inTokens.has_value());
  BOOST_TEST(inTokens->perSecond == 614191.0);
  BOOST_TEST(inTokens->burst == 352760.0);
  BOOST_TEST(inTokens->countOf(1540) == 1540U);
  BOOST_TEST(inTokens->countOf(std::nullopt) == 200U);
  BOOST_TEST(!contents->tenants[1].rate.has_value());
  const auto& inRequests = contents->tenants[2].rate;
  BOOST_TEST(inRequests->perSecond == 12.5);
  BOOST_TEST(inRequests->countOf(1540) == 1U);
}

BOOST_AUTO_TEST_CASE(MalformedConfigurationIsRejectedWithReason) {
  BOOST_TEST(reasonFor("") == "not a JSON object");
  BOOST_TEST(reasonFor("[1]") == "not a JSON object");
  BOOST_TEST(reasonFor(R"({"routes":7})") == "routes must be a list");
  BOOST_TEST(reasonFor(R"({"routes":[{"host":"h"}]})") == "path_prefix is missing");
  BOOST_TEST(reasonFor(R"({"routes":[{"host":"h","path_prefix":"/","kind":"odd"}]})") ==
             "kind odd is unknown");
  BOOST_TEST(reasonFor(R"({"services":[{"name":"s","kv_store_address":"here"}]})") ==
             "kv_store_address must be IP:PORT");
  BOOST_TEST(reasonFor(R"({"tenants":[{"name":"t","keys":[3]}]})") == "keys must be texts");
  BOOST_TEST(reasonFor(R"({"tenants":[{"name":"t","keys":[],"rate_per_s":1,"unit":"bytes"}]})") ==
             "unit bytes is unknown");
  BOOST_TEST(reasonFor(R"({"tenants":[{"name":"t","keys":[],"rate_per_s":-1}]})") ==
             "rate_per_s must be a number of 0 or more");
}

BOOST_AUTO_TEST_CASE(OperatorTableKeysAreRecognized) {
  const ConfigurationReader reader;
  BOOST_TEST(reader.isRouteTable("config"));
  BOOST_TEST(!reader.isRouteTable("config2"));
  BOOST_TEST(reader.isAnnouncedWeights("version/daka510000"));
  base::Reason reason;
  const auto named = reader.readWeights(R"({"model":"daka510000","version":2})", reason);
  BOOST_TEST(named->version == 2U);
}

BOOST_AUTO_TEST_CASE(ReplicaIsRead) {
  base::Reason reason;
  const auto replica = ReplicaReader{}.readReplica(
      "i-7f3a91c2",
      R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"z1","version":"v1","slots":64,
      "state":"draining","cold_remaining_ms":0,"models":[{"name":"daka510000","version":4}],"sequence":3})",
      reason);
  BOOST_REQUIRE(replica.has_value());
  BOOST_TEST(replica->instance == "i-7f3a91c2");
  BOOST_TEST((replica->state == routing::ReplicaState::kDraining));
  BOOST_TEST(replica->findModel("daka510000")->version == 4U);
  BOOST_TEST(!ReplicaReader{}.readReplica("i", R"({"service":"s","address":"x"})", reason));
}

// Entries may have been written by something other than a replica. Guards against an entry with the
// state "booting", with the text "64" as its slots, or without a state being accepted as a ready
// replica.
BOOST_AUTO_TEST_CASE(EntryWithInvalidFieldsIsRejected) {
  BOOST_TEST(reasonForReplica(replicaEntry().dump()).empty());
  for (const char* field :
       {"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence"})
    BOOST_TEST(reasonWithout(field) == std::string{field} + " is missing");
  BOOST_TEST(reasonWith("state", "booting") == "state is unknown");
  for (const char* field : {"service", "address", "zone", "version", "state"}) {
    BOOST_TEST(reasonWith(field, 7) == std::string{field} + " must be a text");
    BOOST_TEST(reasonWith(field, nullptr) == std::string{field} + " is missing");
  }
  for (const char* field : {"slots", "sequence", "born"}) {
    for (const auto& value : {nlohmann::json("64"), nlohmann::json(-1), nlohmann::json(2.5),
                              nlohmann::json(true), nlohmann::json::array({64})})
      BOOST_TEST(reasonWith(field, value) == std::string{field} + " must be a whole number");
  }
  BOOST_TEST(reasonWith("slots", 0) == "slots must be 1 or more");
  BOOST_TEST(reasonWith("cold_remaining_ms", "soon") ==
             "cold_remaining_ms must be a number of 0 or more");
  BOOST_TEST(reasonWith("address", "here") == "address must be IP:PORT");

  using nlohmann::json;
  BOOST_TEST(reasonWith("models", "daka510000") == "models must be a list");
  BOOST_TEST(reasonWith("models", json::array({"daka510000"})) == "models must be objects");
  BOOST_TEST(reasonWith("models", json::array({json::object({{"version", 4}})})) ==
             "name is missing");
  BOOST_TEST(reasonWith("models", json::array({json::object({{"name", "m"}})})) ==
             "version is missing");
  const auto wrongVersion = json::object({{"name", "m"}, {"version", "4"}});
  BOOST_TEST(reasonWith("models", json::array({wrongVersion})) == "version must be a whole number");
  BOOST_TEST(reasonWithout("models").empty());
}

BOOST_AUTO_TEST_CASE(UnparsableBytesAreRejected) {
  for (const std::string_view bytes :
       {"", "\xff\xfe{", "{\"service\":\"\xc3\x28\"}", "[]", "7", "{\"slots\":1e999}"})
    BOOST_TEST(reasonForReplica(bytes) == "not a JSON object");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::platform
