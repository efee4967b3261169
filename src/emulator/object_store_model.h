/// \file
/// The platform's object store.
#pragma once

#include <map>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "clients/object_store_client.h"
#include "emulator/service_conditions.h"

namespace covewing::emulator {

/// Service limits of the emulated object store: 100 calls a second, 10 ms each.
inline constexpr ServiceOptions kObjectStoreDefaults{
    .rateLimit = 100.0, .rateBurst = 100.0, .latency = std::chrono::milliseconds(10)};

class ObjectStoreModel final : public clients::ObjectStoreClient {
 public:
  ObjectStoreModel(const ServiceOptions& options, const base::Clock& clock,
                   base::TimerService& timers, base::RandomSource& random)
      : clock_(clock), timers_(timers), random_(random), conditions_(options) {}

  void get(std::string name, clients::ObjectCallback callback) override;
  void put(std::string name, std::string bytes, clients::ObjectCallback callback) override;

  ServiceConditions& conditions() { return conditions_; }

 private:
  bool accept(const clients::ObjectCallback& callback);
  void answer(clients::ObjectReply reply, base::Duration delay, clients::ObjectCallback callback);

  const base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  ServiceConditions conditions_;
  std::map<std::string, std::string> objects_;
};

}  // namespace covewing::emulator
