// One complete node with fake services: a table service with one tenant and a machine list with two
// engines.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "clients/machine_list_client.h"
#include "clients/object_store_client.h"
#include "config/bearer_key.h"
#include "config/template_row.h"
#include "node/node.h"
#include "request/fakes.h"

namespace covewing::node {

using request::FakePeers;
using request::VirtualTime;

class FakeMachines final : public clients::MachineListClient {
 public:
  explicit FakeMachines(VirtualTime& time) : time_(time) {}
  std::vector<clients::Machine> machines;
  void fetch(clients::MachineListCallback callback) override {
    time_.schedule(std::chrono::milliseconds(1),
                   [this, callback = std::move(callback)] { callback(machines); });
  }

 private:
  VirtualTime& time_;
};

class NoObjects final : public clients::ObjectStoreClient {
 public:
  explicit NoObjects(VirtualTime& time) : time_(time) {}
  void get(std::string /*name*/, clients::ObjectCallback callback) override {
    time_.schedule({}, [callback = std::move(callback)] {
      callback({clients::ObjectStatus::kNotFound, {}});
    });
  }
  void put(std::string /*name*/, std::string /*bytes*/, clients::ObjectCallback callback) override {
    time_.schedule({}, [callback = std::move(callback)] {
      callback({clients::ObjectStatus::kUnavailable, {}});
    });
  }

 private:
  VirtualTime& time_;
};

/// Streams are driven by the test; polls return the report of a serving engine.
class PolledEngines final : public clients::EngineClient {
 public:
  explicit PolledEngines(VirtualTime& time) : time_(time) {}
  request::FakeEngines streams;

  std::unique_ptr<clients::EngineStream> start(const clients::BackEndAddress& engine,
                                               clients::EngineRequest request,
                                               clients::EngineStreamHandler& handler) override {
    return streams.start(engine, std::move(request), handler);
  }
  void poll(const clients::BackEndAddress& /*engine*/, std::uint64_t fromSequence,
            std::function<void(std::optional<clients::EngineReport>)> callback) override {
    respond(fromSequence, std::move(callback));
  }
  void snapshot(const clients::BackEndAddress& /*engine*/,
                std::function<void(std::optional<clients::EngineReport>)> callback) override {
    respond(0, std::move(callback));
  }
  void order(const clients::BackEndAddress& /*engine*/, clients::EngineOrder /*order*/,
             std::function<void(clients::OrderReply)> /*callback*/) override {}

 private:
  void respond(std::uint64_t fromSequence,
               std::function<void(std::optional<clients::EngineReport>)> callback) {
    clients::EngineReport report;
    report.incarnation = 1;
    report.weights = {{"rules", 3, {}}};
    report.firstSequence = fromSequence;
    report.nextSequence = fromSequence;
    time_.schedule(std::chrono::milliseconds(1),
                   [report, callback = std::move(callback)] { callback(report); });
  }
  VirtualTime& time_;
};

/// Records the written events without their fields.
class RecordingLog final : public base::EventLog {
 public:
  std::vector<base::Event> events;
  void write(base::Event event, std::initializer_list<base::EventField> /*fields*/) override {
    events.push_back(event);
  }
  bool has(base::Event event) const { return std::ranges::find(events, event) != events.end(); }
};

struct NodeFixture {
  NodeFixture() {
    for (const char* name : {"rules-1", "rules-2"}) {
      clients::Machine machine;
      machine.name = name;
      machine.zone = "hall-a";
      machine.region = "south";
      machines.machines.push_back(machine);
    }
    putTenant("{}", false);
    node = makeNode(options(), {time, time, random, log, peers, table, objects, machines, engines,
                                applications});
  }

  /// Commits the tenant's row; "{}" as `body` selects `kBody`.
  void putTenant(const std::string& body, bool retired) {
    config::TemplateRow row;
    row.name = "judges";
    row.cacheSalt = 7;
    row.retired = retired;
    row.document = R"({"key_digests": [")" + config::digestBearerKey("key") + R"("], "body": )" +
                   (body == "{}" ? kBody : body) + "}";
    clients::TableTransaction transaction;
    transaction.writes.push_back({config::templateRowKey(row.name), encodeTemplateRow(row)});
    table.apply(transaction);
  }
  static NodeOptions options() {
    NodeOptions result;
    result.name = "node-1";
    result.zone = "hall-a";
    result.region = "south";
    return result;
  }
  std::unique_ptr<request::ActiveRequest> complete() {
    request::CompletionRequest completion;
    completion.bearerKey = "key";
    completion.model = "rules";
    completion.prompt = std::make_shared<const std::string>("may this card be played");
    auto active = node->requests().complete(std::move(completion), sink);
    time.advance(std::chrono::milliseconds(200));
    return active;
  }
  void startAndSettle() {
    node->start();
    time.advance(std::chrono::seconds(3));
  }

  static constexpr const char* kBody =
      R"({"models": [{"model": "rules"}], "priority": "interactive",
          "deadline_ms": 4000, "hold_ms": 100, "when_stale": "refuse"})";

  VirtualTime time;
  base::SeededRandom random{1};
  RecordingLog log;
  FakePeers peers;
  request::FakeTable table{time};
  NoObjects objects{time};
  FakeMachines machines{time};
  PolledEngines engines{time};
  request::FakeApplications applications;
  request::RecordingSink sink;
  std::unique_ptr<Node> node;
};

}  // namespace covewing::node
