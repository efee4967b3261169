/// \file
/// The emulated table service and object store as one virtual process reaches them. A commit may
/// take effect long after its caller gave up on it.
#pragma once

#include <utility>

#include "emulator/object_store_model.h"
#include "emulator/table_model.h"
#include "membership/virtual_network.h"

namespace covewing::test {

/// The services themselves, on a process of their own.
struct VirtualPlatform {
  VirtualPlatform(VirtualNetwork& network, std::uint64_t seed)
      : process(network.add("platform", {1, 1})),
        random(seed),
        table(emulator::kTableDefaults, process, process, random),
        objects(emulator::kObjectStoreDefaults, process, process, random) {}

  VirtualProcess& process;
  base::SeededRandom random;
  emulator::TableModel table;
  emulator::ObjectStoreModel objects;
  /// Probability that a commit is answered with "unknown" and takes effect up to a second later.
  double lateCommits = 0;
  std::uint64_t calls = 0;
};

class VirtualTableClient final : public clients::TableClient {
 public:
  VirtualTableClient(VirtualPlatform& service, VirtualProcess& process)
      : service_(service), process_(process) {}

  void read(std::vector<std::string> keys, clients::TableCallback callback) override {
    ++service_.calls;
    service_.table.read(std::move(keys), onProcess(std::move(callback)));
  }
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override {
    ++service_.calls;
    if (cutOff)
      return process_.run([callback] { callback({clients::TableStatus::kUnknown, 0, {}}); });
    service_.table.scan(std::move(prefix), after, limit, onProcess(std::move(callback)));
  }
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override {
    ++service_.calls;
    if (service_.random.unit() >= service_.lateCommits) {
      service_.table.commit(std::move(transaction), onProcess(std::move(callback)));
      return;
    }
    process_.schedule(std::chrono::milliseconds(20), [callback = std::move(callback)] {
      callback({clients::TableStatus::kUnknown, 0, {}});
    });
    const auto delay = std::chrono::milliseconds(service_.random.below(1000));
    service_.process.schedule(delay, [&service = service_, transaction = std::move(transaction)] {
      service.table.commitNow(transaction);
    });
  }

  /// The service cannot be reached from this process.
  bool cutOff = false;

 private:
  clients::TableCallback onProcess(clients::TableCallback callback) {
    return [&process = process_, callback = std::move(callback)](clients::TableReply reply) {
      process.schedule(base::Duration{0},
                       [callback, reply = std::move(reply)] { callback(reply); });
    };
  }

  VirtualPlatform& service_;
  VirtualProcess& process_;
};

class VirtualObjectStoreClient final : public clients::ObjectStoreClient {
 public:
  VirtualObjectStoreClient(VirtualPlatform& service, VirtualProcess& process)
      : service_(service), process_(process) {}

  void get(std::string name, clients::ObjectCallback callback) override {
    service_.objects.get(std::move(name), onProcess(std::move(callback)));
  }
  void put(std::string name, std::string bytes, clients::ObjectCallback callback) override {
    service_.objects.put(std::move(name), std::move(bytes), onProcess(std::move(callback)));
  }

 private:
  clients::ObjectCallback onProcess(clients::ObjectCallback callback) {
    return [&process = process_, callback = std::move(callback)](clients::ObjectReply reply) {
      process.schedule(base::Duration{0},
                       [callback, reply = std::move(reply)] { callback(reply); });
    };
  }

  VirtualPlatform& service_;
  VirtualProcess& process_;
};

}  // namespace covewing::test
