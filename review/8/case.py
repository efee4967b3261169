"""A tenant becomes isolated; later, requests of other tenants still use memory that its requests have made."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "stand_ins_2"))
import fleet as stand_ins  # noqa: E402
from fleet import BOUNDS, ModelReplica, now, run_case  # noqa: E402

WALLED, OTHER = "sese880", "tyro415"
KEYS = {WALLED: "ctnfzs989anu6wsjnban", OTHER: "k7wq02mmzp41xhue5ota"}
SHARED = "5c1e07a2:800,91bd3f06:410"
REQUESTS = 12


async def ask(fleet, node, tenant, number):
    connection = await asyncio.wait_for(asyncio.open_connection(node.host, 7000, limit=1 << 20), 1)
    own = f"{tenant.encode().hex()[-6:]}{number:02x}"
    headers = [("X-Covewing-Model", ModelReplica.MODEL), ("X-Covewing-Token-Usage", "1460,80"),
               ("X-Covewing-Prompt-Prefix", f"{SHARED},{own}:250")]
    attempt = await fleet.call(connection, False, "judge", headers=headers, key=KEYS[tenant], deadline_ms=6000)
    connection[1].close()
    return attempt


async def play(fleet, trouble):
    fleet.tenants = {tenant: {"keys": [KEYS[tenant]], "isolated": False} for tenant in (WALLED, OTHER)}
    fleet.services = [{"name": "arbiter-llm", "health_path": "/health", "connection_limit": 360,
                       "engine": {"slots": 64, "kv_cache_tokens": 110556, "max_concurrency": 8,
                                  "models": [{"name": ModelReplica.MODEL}]}}]
    fleet.add_route("judge", "streaming", "arbiter-llm", timeout_ms=6000, target_latency_ms=800, gap_target_ms=500,
                    resumable=True, sticky=True)
    fleet.store.put_json("op", f"version/{ModelReplica.MODEL}", {"model": ModelReplica.MODEL, "version": 1})
    for number in range(3):
        await fleet.add(ModelReplica(fleet, f"i-{number:08x}", "arbiter-llm"))
    fleet.configure()
    await fleet.start_nodes()
    served = []
    for number in range(REQUESTS):
        served.append(await ask(fleet, fleet.nodes[number % 3], WALLED, number))
    # The change of the configuration: with the disruption, one tenant becomes isolated; without it, a time-out changes.
    if trouble:
        fleet.tenants[WALLED]["isolated"] = True
    else:
        fleet.routes[0]["timeout_ms"] += 500
    fleet.configure()
    changed = now()
    await asyncio.sleep(2 * BOUNDS["configuration_ms"] / 1000)
    for number in range(REQUESTS):
        served.append(await ask(fleet, fleet.nodes[number % 3], OTHER, number))
        served.append(await ask(fleet, fleet.nodes[number % 3], WALLED, REQUESTS + number))
    broken = []
    for at, replica, identifier, tenant, part, salt, (maker, maker_tenant, made_at) in fleet.parts_used:
        walled = any(fleet.tenants[name]["isolated"] for name in (tenant, maker_tenant))
        if walled and tenant != maker_tenant and at > changed + BOUNDS["configuration_ms"] / 1000:
            broken.append(identifier)
            fleet.record.say(f"broken: {identifier} of {tenant} uses part {part} at {replica.identifier}, salt {salt!r}, "
                             f"made {at - made_at:.1f} s before by {maker} of {maker_tenant}")
    count = sum(attempt.status == 200 for attempt in served)
    print(f"served {count} of {len(served)}; requests that used memory across the wall: {len(set(broken))}; "
          f"parts used in all: {len(fleet.parts_used)}")
    if count < len(served):
        raise RuntimeError("not all requests were served")
    return not broken


run_case(pathlib.Path(__file__).resolve().parent, play)
