#include "coordination/lease_row.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "coordination/json_values.h"

namespace covewing::coordination {

std::string leaseKey(std::string_view name) { return "lease/" + std::string(name); }

std::string leaseTenureKey(std::string_view name) { return "lease-tenure/" + std::string(name); }

std::string coordinatorLeaseName(std::string_view region) {
  return "coordinator/" + std::string(region);
}

std::string coordinatorTenureKey(std::string_view region) {
  return leaseTenureKey(coordinatorLeaseName(region));
}

std::string encodeLeaseRow(const LeaseRow& row) {
  const Json json = {{"holder", row.holder},     {"incarnation", row.incarnation},
                     {"nonce", row.nonce},       {"token", row.token},
                     {"released", row.released}, {"address", row.address},
                     {"settled", row.settled},   {"era", row.era}};
  return textOf(json);
}

std::optional<LeaseRow> parseLeaseRow(std::string_view value, base::Reason& reason) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) {
    reason = {base::ResultCode::kMessageMalformed, "the lease row is not a JSON object"};
    return std::nullopt;
  }
  LeaseRow row;
  row.holder = textField(json, "holder");
  row.incarnation = numberField(json, "incarnation");
  row.nonce = numberField(json, "nonce");
  row.token = numberField(json, "token");
  row.released = booleanField(json, "released");
  row.address = textField(json, "address");
  row.settled = booleanField(json, "settled");
  row.era = static_cast<base::StoreEra>(
      std::min<std::uint64_t>(numberField(json, "era"), base::kLargestStoreEra));
  return row;
}

}  // namespace covewing::coordination
