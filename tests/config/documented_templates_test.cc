/// \file
/// The documents shown in docs/operators/templates.md are ones that nodes accept.
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "config/template_document.h"

namespace covewing::config {

namespace {

std::vector<std::string> shownDocuments() {
  std::ifstream file("docs/operators/templates.md");
  std::stringstream page;
  page << file.rdbuf();
  const std::string text = page.str();
  std::vector<std::string> documents;
  constexpr std::string_view kOpen = "```json\n";
  for (std::size_t open = text.find(kOpen); open != std::string::npos;) {
    const std::size_t begin = open + kOpen.size();
    const std::size_t end = text.find("```", begin);
    documents.push_back(withDigestedKeys(text.substr(begin, end - begin)).value_or(""));
    open = text.find(kOpen, end);
  }
  return documents;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(DocumentedTemplatesTest)

BOOST_AUTO_TEST_CASE(ShownDocumentsAreAccepted) {
  const std::vector<std::string> documents = shownDocuments();
  BOOST_REQUIRE(documents.size() == 3U);
  std::vector<FieldMistake> mistakes;
  const auto whole = parseTemplateDocument(documents[0], mistakes);
  const auto base = parseTemplateDocument(documents[1], mistakes);
  const auto tenant = parseTemplateDocument(documents[2], mistakes);
  BOOST_TEST(toText(mistakes) == "");
  BOOST_REQUIRE((whole && base && tenant));
  checkBaseDocument(*base, mistakes);
  BOOST_TEST(expandTemplate("judges", *whole, nullptr, mistakes)->limits.requestsPerSecond == 8);
  BOOST_TEST(expandTemplate("stall-1", *tenant, &*base, mistakes)->models[0].adapters[0] ==
             "prices-cz");
  BOOST_TEST(toText(mistakes) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
