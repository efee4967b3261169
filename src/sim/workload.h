/// \file
/// Callers of a simulated run: streamed completions over shared documents, proxied calls that must
/// run at most once and are repeated through several nodes, and plain proxied reads.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "sim/fleet.h"
#include "sim/history_recorder.h"

namespace covewing::sim {

struct WorkloadOptions {
  double completionsPerSecond = 8;
  /// Calls that must run at most once; each is sent one to three times under one key.
  double notRepeatablePerSecond = 3;
  double readsPerSecond = 3;
  /// Shared documents that prompts begin with, and how often the most popular one is chosen.
  std::size_t documents = 4;
  double hotShare = 0.6;
  std::size_t documentBytes = 4096;
  std::uint32_t minimumTokens = 4;
  std::uint32_t maximumTokens = 48;
  /// Shares of callers that go away early, read slowly, or mark a completion as not repeatable.
  double disconnectShare = 0.03;
  double slowShare = 0.03;
  double notRepeatableShare = 0.1;
  /// Callers stop this long before the end of the run, so that their calls can end.
  base::Duration lead = std::chrono::seconds(2);
  base::Duration length = std::chrono::seconds(60);
};

/// A tenant as callers know it.
struct WorkloadTenant {
  std::string name;
  std::string bearerKey;
  std::string model;
  std::vector<std::string> adapters;
};

class Workload {
 public:
  Workload(Fleet& fleet, HistoryRecorder& recorder, WorkloadOptions options,
           std::vector<WorkloadTenant> tenants, std::uint64_t seed);
  ~Workload();
  Workload(const Workload&) = delete;
  Workload& operator=(const Workload&) = delete;

  /// Begins to send, until `options.length` has passed.
  void start();
  /// The popular document changes at once.
  void shiftHotDocument();
  /// Sends one completion of a tenant now; for operators that check what they changed.
  void sendCompletion(const WorkloadTenant& tenant);
  void addTenant(WorkloadTenant tenant) { tenants_.push_back(std::move(tenant)); }

 private:
  class Caller;
  class CompletionCallerImpl;
  class ProxiedCallerImpl;

  /// Runs `send` again and again at a mean rate until the end.
  void repeat(double perSecond, void (Workload::*send)());
  void sendRandomCompletion();
  void sendNotRepeatable();
  void sendRead();
  void sendProxied(const WorkloadTenant& tenant, const std::string& method,
                   const std::string& target, const std::string& key);
  std::size_t chooseNode();
  const WorkloadTenant& chooseTenant();
  std::string makePrompt();
  CallRecord newRecord(const WorkloadTenant& tenant, std::size_t node);
  base::Duration exponential(double perSecond);

  Fleet& fleet_;
  HistoryRecorder& recorder_;
  WorkloadOptions options_;
  std::vector<WorkloadTenant> tenants_;
  base::SeededRandom random_;
  std::vector<std::string> documents_;
  std::size_t hotDocument_ = 0;
  std::uint64_t nextNumber_ = 1;
  base::TimePoint endsAt_;
  std::vector<std::unique_ptr<Caller>> callers_;
};

}  // namespace covewing::sim
