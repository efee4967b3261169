# The faults of scripts/demo --faults, while covewing-bench streams through all nodes.
# Sourced after scripts/demo_fleet.sh.
# shellcheck shell=bash disable=SC2154

load_seconds=24

# action <json>: an action of the emulator.
action() {
  curl -fsS -m 10 -o "$work/action" "http://$(service admin)/admin/actions" \
    --data-binary "$1" || fail "the emulator refused $1"
}

service_mode() { action "{\"action\": \"service\", \"service\": \"$1\", \"mode\": \"$2\"}"; }

crash_engine() {
  echo "demo: engine $1 crashes and comes back empty"
  action "{\"action\": \"crash\", \"machine\": \"$1\"}"
  sleep 2
  action "{\"action\": \"restart\", \"machine\": \"$1\"}"
}

kill_node() {
  echo "demo: $1 is killed and started again"
  kill -KILL "${node_pids[$1]}"
  wait "${node_pids[$1]}" 2>/dev/null || true
  sleep 2
  # Its callers keep their address, so the node takes its old ports again.
  start_node "$1" "$2" "$(listener node-a peer)" "$(listener "$1" caller)"
  wait_for "readiness of $1" ready "$1"
}

table_outage() {
  echo "demo: the table service is down for 4 s"
  service_mode table down
  sleep 4
  service_mode table normal
}

standings_post() {
  curl -fsS -m 20 -X POST -d 'table 7' "http://$(listener "$1" caller)/standings" \
    -H "Authorization: Bearer $tenant_key" -H "Idempotency-Key: $2" >"$work/standings"
}

faults_job() {
  build covewingd covewingctl covewing-emulator covewing-bench
  start_fleet

  echo "demo: $load_seconds s of load through three nodes"
  timeout 120 "$build_dir/covewing-bench" live --node "$(listener node-a caller)" \
    --node "$(listener node-b caller)" --node "$(listener node-c caller)" --key "$tenant_key" \
    --admin "$(service admin)" --streams 24 --seconds "$load_seconds" >"$work/load.log" 2>&1 &
  local load_pid=$!
  pids+=("$load_pid")
  sleep 2
  crash_engine rules-02
  kill_node node-b vn-south-b
  table_outage
  crash_engine rules-05
  crash_engine rules-02

  wait "$load_pid" || { cat "$work/load.log" >&2 && fail "the load tool found a violation"; }
  cat "$work/load.log"

  echo "demo: every node serves again"
  local node
  for node in node-a node-b node-c; do
    ask_and_tell "$node" "May a player draw card 12?"
    wait_for "a standings post through $node" standings_post "$node" "round-3-$node"
  done
}
