#include "sim/platform_clients.h"

#include <utility>

namespace covewing::sim {

namespace {
/// Head and JSON of an HTTP request and of an answer, without their variable parts.
constexpr std::size_t kRequestHead = 200;
constexpr std::size_t kAnswerHead = 150;
/// JSON around one table row, and one machine as JSON.
constexpr std::size_t kRowOverhead = 48;
constexpr std::size_t kMachineBytes = 160;

std::size_t bytesOf(const std::vector<clients::TableRow>& rows) {
  std::size_t sum = kAnswerHead;
  for (const auto& row : rows) sum += kRowOverhead + row.key.size() + row.value.size();
  return sum;
}

std::size_t bytesOf(const clients::TableTransaction& transaction) {
  std::size_t sum = kRequestHead;
  for (const auto& condition : transaction.conditions) sum += kRowOverhead + condition.key.size();
  for (const auto& write : transaction.writes) {
    sum += kRowOverhead + write.key.size() + (write.value ? write.value->size() : 0);
  }
  return sum;
}

clients::DispatchError dispatchError(ExchangeStatus status) {
  if (status == ExchangeStatus::kNotSent) {
    return {clients::DispatchFailure::kNotSent,
            {base::ResultCode::kBackEndUnreachable, "no connection"}};
  }
  return {clients::DispatchFailure::kOutcomeUnknown,
          {base::ResultCode::kBackEndLost, "no answer on this connection"}};
}

base::RequestId requestIdOf(const clients::ApplicationResult& result) {
  const auto* response = std::get_if<clients::ApplicationResponse>(&result);
  return response == nullptr ? base::RequestId{} : response->requestId;
}
}  // namespace

// --- table service

SimTableClient::SimTableClient(Network& network, HostId self, HostId server,
                               emulator::TableModel& model)
    : process_(network.process(self)),
      server_(server),
      model_(model),
      pool_(network, self, TrafficClass::kTable) {}

void SimTableClient::call(std::size_t bytes, Operation operation, clients::TableStatus whenLost,
                          clients::TableCallback callback) {
  Pool::Request request;
  request.server = server_;
  request.bytes = bytes;
  request.timeout = kPlatformTimeout;
  request.serve = [&model = model_, operation = std::move(operation)](const Pool::Answer& answer) {
    operation(model, [answer](clients::TableReply reply) {
      const auto size = bytesOf(reply.rows);
      answer(std::move(reply), size);
    });
  };
  const auto reply = process_.expect<ExchangeResult<clients::TableReply>>(
      [whenLost, callback = std::move(callback)](ExchangeResult<clients::TableReply> result) {
        if (result.status == ExchangeStatus::kNotSent) {
          result.response.status = clients::TableStatus::kUnavailable;
        } else if (result.status == ExchangeStatus::kNoAnswer) {
          result.response.status = whenLost;
        }
        callback(std::move(result.response));
      });
  pool_.call(std::move(request), reply);
}

void SimTableClient::read(std::vector<std::string> keys, clients::TableCallback callback) {
  std::size_t bytes = kRequestHead;
  for (const auto& key : keys) bytes += key.size();
  call(
      bytes,
      [keys = std::move(keys)](emulator::TableModel& model, clients::TableCallback done) {
        model.read(keys, std::move(done));
      },
      clients::TableStatus::kUnavailable, std::move(callback));
}

void SimTableClient::scan(std::string prefix, base::Revision after, std::size_t limit,
                          clients::TableCallback callback) {
  const auto bytes = kRequestHead + prefix.size();
  call(
      bytes,
      [prefix = std::move(prefix), after, limit](emulator::TableModel& model,
                                                 clients::TableCallback done) {
        model.scan(prefix, after, limit, std::move(done));
      },
      clients::TableStatus::kUnavailable, std::move(callback));
}

void SimTableClient::commit(clients::TableTransaction transaction,
                            clients::TableCallback callback) {
  const auto bytes = bytesOf(transaction);
  call(
      bytes,
      [transaction = std::move(transaction)](emulator::TableModel& model,
                                             clients::TableCallback done) {
        model.commit(transaction, std::move(done));
      },
      clients::TableStatus::kUnknown, std::move(callback));
}

// --- object store

SimObjectStoreClient::SimObjectStoreClient(Network& network, HostId self, HostId server,
                                           emulator::ObjectStoreModel& model)
    : process_(network.process(self)),
      server_(server),
      model_(model),
      pool_(network, self, TrafficClass::kObjectStore) {}

void SimObjectStoreClient::call(std::size_t bytes, Operation operation,
                                clients::ObjectCallback callback) {
  using Pool = ExchangePool<clients::ObjectReply>;
  Pool::Request request;
  request.server = server_;
  request.bytes = bytes;
  request.timeout = kPlatformTimeout;
  request.serve = [&model = model_, operation = std::move(operation)](const Pool::Answer& answer) {
    operation(model, [answer](clients::ObjectReply reply) {
      const auto size = kAnswerHead + reply.bytes.size();
      answer(std::move(reply), size);
    });
  };
  const auto reply = process_.expect<ExchangeResult<clients::ObjectReply>>(
      [callback = std::move(callback)](ExchangeResult<clients::ObjectReply> result) {
        if (result.status == ExchangeStatus::kNotSent) {
          result.response.status = clients::ObjectStatus::kUnavailable;
        }
        callback(std::move(result.response));
      });
  pool_.call(std::move(request), reply);
}

void SimObjectStoreClient::get(std::string name, clients::ObjectCallback callback) {
  call(
      kRequestHead + name.size(),
      [name](emulator::ObjectStoreModel& model, clients::ObjectCallback done) {
        model.get(name, std::move(done));
      },
      std::move(callback));
}

void SimObjectStoreClient::put(std::string name, std::string bytes,
                               clients::ObjectCallback callback) {
  const auto size = kRequestHead + name.size() + bytes.size();
  call(
      size,
      [name = std::move(name), bytes = std::move(bytes)](emulator::ObjectStoreModel& model,
                                                         clients::ObjectCallback done) {
        model.put(name, bytes, std::move(done));
      },
      std::move(callback));
}

// --- machine list

SimMachineListClient::SimMachineListClient(Network& network, HostId self, HostId server,
                                           emulator::MachineListModel& model)
    : process_(network.process(self)),
      server_(server),
      model_(model),
      pool_(network, self, TrafficClass::kMachineList) {}

void SimMachineListClient::fetch(clients::MachineListCallback callback) {
  using Pool = ExchangePool<Answer>;
  Pool::Request request;
  request.server = server_;
  request.bytes = kRequestHead;
  request.timeout = kPlatformTimeout;
  request.serve = [&model = model_](const Pool::Answer& answer) {
    model.fetch([answer](Answer machines) {
      const auto size = kAnswerHead + (machines ? machines->size() * kMachineBytes : 0);
      answer(std::move(machines), size);
    });
  };
  const auto reply = process_.expect<ExchangeResult<Answer>>(
      [callback = std::move(callback)](ExchangeResult<Answer> result) {
        callback(std::move(result.response));
      });
  pool_.call(std::move(request), reply);
}

// --- application back ends

SimApplicationClient::SimApplicationClient(Network& network, HostId self,
                                           ApplicationLookup replicas, ExchangeFaults faults)
    : network_(network),
      process_(network.process(self)),
      replicas_(std::move(replicas)),
      faults_(faults),
      pool_(network, self, TrafficClass::kData, faults) {}

void SimApplicationClient::call(const clients::BackEndAddress& backEnd,
                                clients::ApplicationRequest request,
                                std::function<void(clients::ApplicationResult)> callback) {
  using Pool = ExchangePool<clients::ApplicationResult>;
  using Result = ExchangeResult<clients::ApplicationResult>;
  const auto reply =
      process_.expect<Result>([callback = std::move(callback), trusting = faults_.reuseAbandoned,
                               id = request.requestId](Result result) {
        if (result.status == ExchangeStatus::kAnswered) {
          auto* response = std::get_if<clients::ApplicationResponse>(&result.response);
          if (trusting && response != nullptr) response->requestId = id;
          callback(std::move(result.response));
        } else {
          callback(dispatchError(result.status));
        }
      });
  const auto* server = network_.findHost(backEnd.endpoint);
  if (server == nullptr) {
    process_.scheduler().after(base::Duration::zero(), [reply] {
      reply({ExchangeStatus::kNotSent, {}});
    });
    return;
  }
  Pool::Request exchange;
  exchange.server = *server;
  exchange.bytes = kRequestHead + request.target.size() + request.body.size();
  exchange.timeout = request.timeout;
  exchange.matches = [expected = request.requestId](const clients::ApplicationResult& result) {
    return !std::holds_alternative<clients::ApplicationResponse>(result) ||
           requestIdOf(result) == expected;
  };
  exchange.serve = [model = replicas_(*server),
                    request = std::move(request)](const Pool::Answer& answer) {
    if (model == nullptr) return;
    model->call(request, [answer](clients::ApplicationResult result) {
      answer(std::move(result), kAnswerHead);
    });
  };
  pool_.call(std::move(exchange), reply);
}

}  // namespace covewing::sim
