/// \file
/// Table service, object store and machine list over HTTP (docs/PLATFORM.md).
#pragma once

#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "clients/machine_list_client.h"
#include "clients/object_store_client.h"
#include "clients/table_client.h"
#include "live/http_client.h"

namespace covewing::live {

/// Sends requests to one platform service; each call fails after `timeout`.
class PlatformService {
 public:
  PlatformService(HttpClient& client, const base::Endpoint& endpoint, base::Duration timeout)
      : client_(client), endpoint_(endpoint), timeout_(timeout) {}
  void call(std::string method, std::string target, std::string body,
            std::function<void(HttpResult)> callback);

 private:
  HttpClient& client_;
  base::Endpoint endpoint_;
  base::Duration timeout_;
  std::uint64_t lastRequest_ = 0;
};

class HttpTableClient final : public clients::TableClient {
 public:
  explicit HttpTableClient(PlatformService service) : service_(service) {}
  void read(std::vector<std::string> keys, clients::TableCallback callback) override;
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override;
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override;

 private:
  PlatformService service_;
};

class HttpObjectStoreClient final : public clients::ObjectStoreClient {
 public:
  explicit HttpObjectStoreClient(PlatformService service) : service_(service) {}
  void get(std::string name, clients::ObjectCallback callback) override;
  void put(std::string name, std::string bytes, clients::ObjectCallback callback) override;

 private:
  PlatformService service_;
};

class HttpMachineListClient final : public clients::MachineListClient {
 public:
  explicit HttpMachineListClient(PlatformService service) : service_(service) {}
  void fetch(clients::MachineListCallback callback) override;

 private:
  PlatformService service_;
};

}  // namespace covewing::live
