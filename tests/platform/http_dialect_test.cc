// Translation between the platform's headers and the request model, in both directions.
#include "platform/http_dialect.h"

#include <boost/test/unit_test.hpp>

namespace covewing::platform {

namespace {

/// Terms of a dispatch that say nothing but whom it is meant for.
const clients::DispatchTerms kTerms{{"i-1", {}}};

live::HttpRequest callerRequest() {
  return {"POST",
          "/lepu270/2f?q=1",
          {{"Host", "jepu9.example"},
           {"X-Covewing-Request-Id", "9c41d07be2a35f68"},
           {"Last-Event-Id", "12"},
           {"X-Covewing-Model", "daka510000"},
           {"X-Covewing-Token-Usage", "1460,80"},
           {"X-Covewing-Length-Hint", "25"},
           {"X-Covewing-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
           {"X-Covewing-Deadline-Milliseconds", "6000"},
           {"X-Api-Key", "secret"},
           {"X-Covewing-Tenant", "forged"},
           {"X-Covewing-Cache-Salt", "forged"},
           {"Connection", "keep-alive, X-Hop"},
           {"X-Hop", "1"},
           {"X-Other", "kept"}},
          {}};
}

std::optional<request::IncomingRequest> read(const live::HttpRequest& request) {
  base::Reason reason;
  return HttpDialect{}.readRequest(request, "body", {}, reason);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpDialectTest)

BOOST_AUTO_TEST_CASE(RequestIsReadCompletely) {
  const auto arrival = read(callerRequest());
  BOOST_REQUIRE(arrival.has_value());
  BOOST_TEST(arrival->request->id == "9c41d07be2a35f68");
  BOOST_TEST(arrival->host == "jepu9.example");
  BOOST_TEST(arrival->path == "/lepu270/2f");
  BOOST_TEST(arrival->request->target == "/lepu270/2f?q=1");
  BOOST_TEST(arrival->key == "secret");
  BOOST_TEST((arrival->deadline == std::chrono::seconds(6)));
  BOOST_TEST(arrival->prompt->model == "daka510000");
  BOOST_TEST(arrival->prompt->promptTokens == 1460U);
  BOOST_TEST(arrival->prompt->maximumOutputTokens == 80U);
  BOOST_TEST(arrival->prompt->expectedOutputTokens() == 25U);
  BOOST_TEST(arrival->prompt->chain.sharedTokens() == 1210U);
  BOOST_TEST(arrival->lastEventId == "12");
}

BOOST_AUTO_TEST_CASE(NodeSetAndConnectionHeadersAreNotForwarded) {
  const auto arrival = read(callerRequest());
  clients::DispatchTerms terms{{"i-1", {}}};
  terms.expectedVersion = 3;
  terms.timeLeft = std::chrono::milliseconds(4321);
  terms.tenant = "sese880";
  terms.priority = 12;
  terms.cacheSalt = "w3";
  terms.fetchFrom = base::Endpoint{0x0a000001, 80};
  terms.lastEventId = "14";
  const auto forwarded = HttpDialect{}.dispatch(*arrival->request, terms);
  BOOST_TEST(forwarded.method == "POST");
  BOOST_TEST(forwarded.target == "/lepu270/2f?q=1");
  BOOST_TEST(forwarded.body.text() == "body");
  BOOST_TEST(forwarded.header("X-Covewing-Request-Id") == "9c41d07be2a35f68");
  BOOST_TEST(forwarded.header("X-Covewing-Deadline-Milliseconds") == "4321");
  BOOST_TEST(forwarded.header("X-Covewing-Expected-Instance") == "i-1");
  BOOST_TEST(forwarded.header("X-Covewing-Expected-Version") == "3");
  BOOST_TEST(forwarded.header("X-Covewing-Tenant") == "sese880");
  BOOST_TEST(forwarded.header("X-Covewing-Request-Priority") == "9");
  BOOST_TEST(forwarded.header("X-Covewing-Cache-Salt") == "w3");
  BOOST_TEST(forwarded.header("X-Covewing-Cache-Fetch-From") == "10.0.0.1:80");
  BOOST_TEST(forwarded.header("Last-Event-Id") == "14");
  BOOST_TEST(forwarded.header("X-Covewing-Model") == "daka510000");
  BOOST_TEST(forwarded.header("X-Other") == "kept");
  for (const char* name : {"X-Api-Key", "X-Hop", "Connection"})
    BOOST_TEST(forwarded.header(name).empty(), name);
}

BOOST_AUTO_TEST_CASE(DeclaredTokensSumPromptAndMaximumOutput) {
  BOOST_TEST(read(callerRequest())->declaredTokens.value() == 1540U);
  auto withoutModel = callerRequest();
  std::erase_if(withoutModel.headers,
                [](const auto& field) { return field.name == "X-Covewing-Model"; });
  BOOST_TEST(read(withoutModel)->declaredTokens.value() == 1540U);
  auto withoutUsage = callerRequest();
  std::erase_if(withoutUsage.headers,
                [](const auto& field) { return field.name == "X-Covewing-Token-Usage"; });
  BOOST_TEST(!read(withoutUsage)->declaredTokens.has_value());
  auto huge = callerRequest();
  for (auto& field : huge.headers) {
    if (field.name == "X-Covewing-Token-Usage") field.value = "4294967295,4294967295";
  }
  BOOST_TEST(read(huge)->declaredTokens.value() == 4294967295U);
}

BOOST_AUTO_TEST_CASE(HeadersReservedForTheNodeAreNeverForwardedFromACaller) {
  const std::vector<std::string> forged = {"X-Covewing-Hold",
                                           "X-Covewing-Pin-Milliseconds",
                                           "X-Covewing-Cache-Backup",
                                           "Kv-From",
                                           "X-Covewing-Cache-Fetch-From",
                                           "X-Covewing-Cache-Save-To",
                                           "X-Covewing-Cache-Salt",
                                           "X-Covewing-Expected-Instance",
                                           "X-Covewing-Expected-Version",
                                           "X-Covewing-Tenant",
                                           "X-Covewing-Request-Priority"};
  auto request = callerRequest();
  for (const auto& name : forged) {
    request.headers.push_back({name, "forged"});
    std::string otherCase = name;
    for (char& letter : otherCase) letter = static_cast<char>(std::toupper(letter));
    request.headers.push_back({otherCase, "forged"});
  }
  const auto forwarded = HttpDialect{}.dispatch(*read(request)->request, kTerms);
  for (const auto& field : forwarded.headers) BOOST_TEST(field.value != "forged", field.name);
}

BOOST_AUTO_TEST_CASE(ForgedHeadersAreDroppedEvenIfTheNodeSetsNone) {
  const auto arrival = read(callerRequest());
  const auto forwarded = HttpDialect{}.dispatch(*arrival->request, kTerms);
  for (const char* name : {"X-Covewing-Tenant", "X-Covewing-Cache-Salt"})
    BOOST_TEST(forwarded.header(name).empty(), name);
}

BOOST_AUTO_TEST_CASE(MalformedHeadersAreRefused) {
  for (const auto& [name, value] : std::vector<std::pair<std::string, std::string>>{
           {"X-Covewing-Request-Id", ""},
           {"X-Covewing-Deadline-Milliseconds", "soon"},
           {"X-Covewing-Deadline-Milliseconds", "-1"},
           {"X-Covewing-Token-Usage", "1460"},
           {"X-Covewing-Token-Usage", "a,b"},
           {"X-Covewing-Prompt-Prefix", "5c1e07a2"},
           {"X-Covewing-Prompt-Prefix", "5c1e07a2:800,"}}) {
    auto request = callerRequest();
    for (auto& field : request.headers) {
      if (field.name == name) field.value = value;
    }
    base::Reason reason;
    BOOST_TEST(!HttpDialect{}.readRequest(request, "", {}, reason).has_value(), name);
    BOOST_TEST((reason.code == base::ResultCode::kInvalidField));
  }
}

BOOST_AUTO_TEST_CASE(ResponseReportsWhetherTheRequestWasExecuted) {
  clients::DispatchTerms terms{{"i-1", {}}};
  const HttpDialect dialect;
  const auto shed = dialect.readAnswer({503, {{"X-Covewing-Not-Executed", "1"}}, {}}, terms);
  BOOST_TEST(shed.notExecuted);
  const auto other = dialect.readAnswer({421, {{"X-Covewing-Instance-Id", "i-2"}}, {}}, terms);
  BOOST_TEST(other.otherInstance);
  const auto executed = dialect.readAnswer({200,
                                            {{"X-Covewing-Server-Signature", "s"},
                                             {"X-Covewing-Weight-Versions", "7"},
                                             {"Content-Length", "5"},
                                             {"Keep-Alive", "timeout=5"}},
                                            {}},
                                           terms);
  BOOST_TEST(!executed.notExecuted);
  BOOST_TEST(executed.version.value() == 7U);
  BOOST_TEST(executed.length.value() == 5U);
  BOOST_TEST(executed.headers.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ResponseOfAnyStatusReportsThatTheReplicaIsLeaving) {
  clients::DispatchTerms terms{{"i-1@17", {}}};
  const HttpDialect dialect;
  const auto isLeaving = [&](unsigned status, std::vector<live::HeaderField> headers) {
    return dialect.readAnswer({status, std::move(headers), {}}, terms).leaving;
  };
  for (const unsigned status : {200U, 404U, 421U, 429U, 500U, 503U})
    BOOST_TEST(isLeaving(status, {{"server-leaving", "1"}}), status);
  BOOST_TEST(isLeaving(200, {{"X-Covewing-Instance-Id", "i-1"}, {"Server-Leaving", "1"}}));
  BOOST_TEST(isLeaving(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}));
  BOOST_TEST(!isLeaving(200, {{"Server-Leaving", "0"}}));
  BOOST_TEST(!isLeaving(200, {}));
  // Another replica responds at the address.
  BOOST_TEST(!isLeaving(421, {{"X-Covewing-Instance-Id", "i-2"}, {"Server-Leaving", "1"}}));
}

BOOST_AUTO_TEST_CASE(ResponseOfAnyStatusReportsTheRateLimit) {
  using clients::RateLimitNotice;
  clients::DispatchTerms terms{{"i-1@17", {}}};
  const auto read = [&](unsigned status, std::vector<live::HeaderField> headers) {
    return HttpDialect{}.readAnswer({status, std::move(headers), {}}, terms).rateLimit;
  };
  const auto limitOf = [&](const std::string& text) {
    return read(200, {{"server-limit", text}}).perSecond;
  };
  for (const unsigned status : {200U, 404U, 421U, 429U, 500U, 503U}) {
    BOOST_TEST(read(status, {{"Server-Limit", "2.5"}}).limited(), status);
    BOOST_TEST((read(status, {}).kind == RateLimitNotice::Kind::kUnlimited), status);
  }
  BOOST_TEST(limitOf("2.5") == 2.5);
  BOOST_TEST(limitOf("0") == 0.0);
  BOOST_TEST(limitOf("0.1") == 0.1);
  BOOST_TEST(limitOf(".5") == 0.5);
  BOOST_TEST(limitOf(std::string(400, '9')) == 1'000'000.0);
  BOOST_TEST(limitOf("0." + std::string(400, '0') + "1") == 0.0);
  for (const char* unreadable :
       {"-1", "+1", "", "few", "nan", "inf", "1e3", "0x1", "1 2", "1,5", "1.2.3"}) {
    const auto notice = read(200, {{"Server-Limit", unreadable}});
    BOOST_TEST((notice.kind == RateLimitNotice::Kind::kNothing), unreadable);
    BOOST_TEST(notice.unreadable, unreadable);
  }
  const auto several =
      read(200, {{"Server-Limit", "4"}, {"Server-Limit", "soon"}, {"Server-Limit", "3"}});
  BOOST_TEST(several.perSecond == 3.0);
  BOOST_TEST(several.unreadable);
  // Another replica responds at the address.
  const auto other = read(421, {{"X-Covewing-Instance-Id", "i-2"}, {"Server-Limit", "1"}});
  BOOST_TEST((other.kind == RateLimitNotice::Kind::kNothing));
}

BOOST_AUTO_TEST_CASE(RefusalReportsTheReplicasBackOff) {
  using std::chrono::milliseconds;
  const auto read = [](unsigned status, std::vector<live::HeaderField> headers) {
    return HttpDialect{}.readAnswer({status, std::move(headers), {}}, kTerms);
  };
  const auto backOffOf = [&](const std::string& text) {
    return read(503, {{"Retry-After", text}}).rest;
  };
  BOOST_TEST((backOffOf("3") == milliseconds(3000)));
  BOOST_TEST((backOffOf("0.25") == milliseconds(250)));
  BOOST_TEST((backOffOf("0") == milliseconds(0)));
  BOOST_TEST((backOffOf("86399") == std::chrono::seconds(86399)));
  for (const char* excessive : {"86401", "1000000000000000000000000", "inf"})
    BOOST_TEST((backOffOf(excessive) == std::chrono::hours(24)), excessive);
  for (const char* unreadable :
       {"-1", "", "soon", "nan", "3s", "1e3", "Thu, 03 Dec 2026 05:00:00 GMT"}) {
    const auto refused = read(503, {{"Retry-After", unreadable}});
    BOOST_TEST((refused.rest == milliseconds(0)), unreadable);
    BOOST_TEST(refused.restUnreadable, unreadable);
  }
  const auto several =
      read(503, {{"Retry-After", "1"}, {"retry-after", "4"}, {"Retry-After", "2"}});
  BOOST_TEST((several.rest == milliseconds(4000)));
  const auto partly = read(503, {{"Retry-After", "tomorrow"}, {"Retry-After", "2"}});
  BOOST_TEST((partly.rest == milliseconds(2000)));
  BOOST_TEST(partly.restUnreadable);
  // Only responses with status 429 or 503 set a back-off; Retry-After is ignored on others.
  BOOST_TEST((read(200, {{"Retry-After", "3"}}).rest == milliseconds(0)));
  BOOST_TEST((read(500, {{"Retry-After", "3"}}).rest == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(RefusalCarriesRetryAfter) {
  const request::RelayRefusal refusal{
      {base::ResultCode::kNodeDraining, "stopping"}, 503, std::chrono::milliseconds(250), true};
  const auto response = HttpDialect{}.refusal(refusal, "id");
  BOOST_TEST(response.status == 503U);
  BOOST_TEST(response.header("Retry-After") == "0.250");
  BOOST_TEST(response.header("X-Covewing-Request-Id") == "id");
}

BOOST_AUTO_TEST_CASE(ResponseOfAnyStatusReportsHowManyRefusalsTheReplicaWithstands) {
  clients::DispatchTerms terms{{"i-1@17", {}}};
  const auto read = [&](unsigned status, std::vector<live::HeaderField> headers) {
    return HttpDialect{}.readAnswer({status, std::move(headers), {}}, terms).refusalLimit;
  };
  for (const unsigned status : {200U, 404U, 429U, 500U, 503U}) {
    BOOST_TEST(read(status, {{"Server-Brittle", "3"}}).perSecond == 3.0, status);
    BOOST_TEST((read(status, {}).kind == clients::RateLimitNotice::Kind::kUnlimited), status);
  }
  // Another replica responds at the address.
  const auto other = read(421, {{"X-Covewing-Instance-Id", "i-2"}, {"Server-Brittle", "3"}});
  BOOST_TEST((other.kind == clients::RateLimitNotice::Kind::kNothing));
}

// Guards against a refusal that names bytes of the caller's which aren't UTF-8: formatting it would
// throw.
BOOST_AUTO_TEST_CASE(RefusalWithBytesThatAreNotUtf8IsFormatted) {
  request::RelayRefusal refusal;
  refusal.status = 503;
  refusal.reason = {base::ResultCode::kStreamVersionUnknown, "stream \xff\xfe is not known"};
  const auto response = HttpDialect{}.refusal(refusal, "id-1");
  BOOST_TEST(response.status == 503U);
  BOOST_TEST(response.body.find("is not known") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::platform
