/// \file
/// Serves the platform's table service, object store and machine list over HTTP.
#pragma once

#include "emulator/machine_list_model.h"
#include "emulator/object_store_model.h"
#include "emulator/table_model.h"
#include "live/http_server.h"

namespace covewing::emulator_http {

void handleTableCall(emulator::TableModel& table, const live::HttpExchangePtr& exchange);
void handleObjectCall(emulator::ObjectStoreModel& store, const live::HttpExchangePtr& exchange);
void handleMachineListCall(emulator::MachineListModel& list, const live::HttpExchangePtr& exchange);

}  // namespace covewing::emulator_http
