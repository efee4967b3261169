#include "live/completion_body.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "live/completion_response.h"
#include "prefix/prompt.h"

namespace covewing::live {

namespace {

constexpr auto kChat = CompletionKind::kChat;
constexpr auto kText = CompletionKind::kText;

base::Reason refused(CompletionKind kind, std::string_view text) {
  base::Reason reason;
  BOOST_TEST(!parseCompletionBody(kind, text, reason).has_value());
  return reason;
}

bool namesField(const base::Reason& reason, std::string_view field) {
  return reason.code == base::ResultCode::kInvalidField &&
         reason.detail.find(std::string{field} + ":") != std::string::npos;
}

nlohmann::json dataOf(const std::string& event) {
  return nlohmann::json::parse(event.substr(6, event.find("\n\n") - 6));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CompletionBodyTest)

BOOST_AUTO_TEST_CASE(ChatWithTextAndParts) {
  base::Reason reason;
  const auto body = parseCompletionBody(
      kChat,
      R"({"model": "rules", "stream": true, "max_tokens": 7, "temperature": 0.5, "messages": [
        {"role": "system", "content": "s"},
        {"role": "user", "content": [{"type": "text", "text": "a"}, {"text": "b"}]}]})",
      reason);
  BOOST_REQUIRE(body.has_value());
  BOOST_TEST(body->model == "rules");
  BOOST_TEST(body->stream);
  BOOST_TEST(body->maximumTokens == 7U);
  const prefix::ChatMessage messages[] = {{"system", "s"}, {"user", "ab"}};
  BOOST_TEST(*body->prompt == prefix::canonicalPrompt(messages));
}

BOOST_AUTO_TEST_CASE(TextAndTokenPrompts) {
  base::Reason reason;
  const auto text = parseCompletionBody(kText, R"({"model": "m", "prompt": "p"})", reason);
  BOOST_TEST(*text.value().prompt == "p");
  const auto tokens = parseCompletionBody(kText, R"({"model": "m", "prompt": [1, 256]})", reason);
  BOOST_TEST((*tokens.value().prompt == std::string("\1\0\0\0\0\1\0\0", 8)));
}

BOOST_AUTO_TEST_CASE(EveryInvalidFieldIsNamed) {
  const auto reason = refused(kChat, R"({"model": 3, "stream": "yes", "n": 2, "max_tokens": -1,
      "messages": [{"role": "user"}, {"content": "x"}, 5]})");
  for (const auto* field : {"model", "stream", "n", "max_tokens", "messages[0].content",
                            "messages[1].role", "messages[2]"}) {
    BOOST_TEST(namesField(reason, field), field << " in " << reason.detail);
  }
}

BOOST_AUTO_TEST_CASE(InvalidPromptsAreNamed) {
  for (const auto* prompt :
       {"[]", "[-1]", "[4294967296]", "[1.5]", "[\"a\", \"b\"]", "{}", "\"\""}) {
    const auto text = R"({"model": "m", "prompt": )" + std::string{prompt} + "}";
    BOOST_TEST(namesField(refused(kText, text), "prompt"), prompt);
  }
}

BOOST_AUTO_TEST_CASE(MalformedBodiesAreDistinguished) {
  using base::ResultCode;
  BOOST_TEST((refused(kChat, "{\"model\": ").code == ResultCode::kMalformedJson));
  BOOST_TEST((refused(kChat, std::string(100'000, '[')).code == ResultCode::kMalformedJson));
  BOOST_TEST((refused(kChat, "{\"n\": 1e999}").code == ResultCode::kMalformedJson));
  BOOST_TEST((refused(kChat, "{\"model\": \"\xff\"}").code == ResultCode::kInvalidUtf8));
  BOOST_TEST((refused(kChat, "{\"model\": \"\xed\xa0\x80\"}").code == ResultCode::kInvalidUtf8));
  BOOST_TEST((refused(kChat, "[]").code == ResultCode::kInvalidField));
}

BOOST_AUTO_TEST_CASE(StreamedChatHasTheApiFormat) {
  const CompletionResponse response(kChat, {"id-1"}, "rules", 5);
  BOOST_TEST(dataOf(response.firstEvent())["choices"][0]["delta"]["role"] == "assistant");
  const auto chunk = dataOf(response.chunkEvent("a \"quote\"\n"));
  BOOST_TEST(chunk["id"] == "chatcmpl-id-1");
  BOOST_TEST(chunk["object"] == "chat.completion.chunk");
  BOOST_TEST(chunk["choices"][0]["delta"]["content"] == "a \"quote\"\n");
  BOOST_TEST(chunk["choices"][0]["finish_reason"].is_null());
  const auto events = response.endEvents({10, 4, 3, "length"});
  BOOST_TEST(events.ends_with("data: [DONE]\n\n"));
  const auto end = dataOf(events);
  BOOST_TEST(end["choices"][0]["finish_reason"] == "length");
  BOOST_TEST(end["usage"]["total_tokens"] == 13);
  BOOST_TEST(end["usage"]["prompt_tokens_details"]["cached_tokens"] == 4);
}

BOOST_AUTO_TEST_CASE(UnstreamedTextHasTheApiFormat) {
  const CompletionResponse response(kText, {"id-2"}, "rules", 5);
  const auto body = nlohmann::json::parse(response.responseBody("out", {1, 0, 1, "stop"}));
  BOOST_TEST(body["object"] == "text_completion");
  BOOST_TEST(body["choices"][0]["text"] == "out");
  BOOST_TEST(body["choices"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalContainsOutcomeAndRetryAfter) {
  const request::Refusal refusal{
      {base::ResultCode::kShed, "why"}, request::Outcome::kNotRun, std::chrono::milliseconds(1200)};
  const auto response = refusalResponse(refusal, "id-3");
  BOOST_TEST(response.status == 503U);
  BOOST_TEST(response.header("Retry-After") == "2");
  BOOST_TEST(response.header("X-Request-Id") == "id-3");
  const auto body = nlohmann::json::parse(response.body);
  BOOST_TEST(body["code"] == 302);
  BOOST_TEST(body["name"] == "Shed");
  BOOST_TEST(body["outcome"] == "not-run");
  BOOST_TEST(body["request_id"] == "id-3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
