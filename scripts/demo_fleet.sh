# Functions of scripts/demo: an emulated fleet and three nodes on loopback, and calls to them.
# Sourced; expects $build_dir, $operator_key, $tenant_key and $ready_seconds.
# shellcheck shell=bash disable=SC2154

work=$(mktemp -d)
pids=()
declare -A node_pids
# Settings files of nodes that do not use the common one.
declare -A node_settings

gone() { ! kill -0 "$1" 2>/dev/null; }

# Stops what still runs, by pid: as planned, and at once what has not ended after some seconds.
stop_all() {
  local pid deadline=$((SECONDS + 10))
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    until gone "$pid" || ((SECONDS >= deadline)); do sleep 0.05; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

finish() {
  local status=$?
  stop_all
  if ((status != 0)); then
    echo "demo: failed; last lines of the logs:" >&2
    tail -n 15 "$work"/*.log >&2 || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

fail() {
  echo "demo: $1" >&2
  exit 1
}

# wait_for <what> <command...>: repeats the command until it succeeds, for a bounded time.
wait_for() {
  local what=$1 deadline=$((SECONDS + ready_seconds))
  shift
  until "$@"; do
    ((SECONDS < deadline)) || fail "$what did not happen within $ready_seconds s"
    sleep 0.1
  done
}

# service <name>: where the emulator serves it.
service() {
  python3 -c 'import json, sys; print(json.load(open(sys.argv[1]))[sys.argv[2]])' \
    "$work/endpoints.json" "$1"
}

# listener <node> <name>: where the node listens, as its log tells.
listener() {
  sed -n "s/.*listener=\"$2\" endpoint=\"\([^\"]*\)\".*/\1/p" "$work/$1.log"
}

listening() { [[ -n $(listener "$1" "$2") ]]; }
ready() { curl -fsS -m 2 -o "$work/ready" "http://$(listener "$1" metrics)/readyz" 2>/dev/null; }

start_emulator() {
  "$build_dir/covewing-emulator" --fleet tournaments --endpoints "$work/endpoints.json" \
    >"$work/emulator.log" 2>&1 &
  pids+=($!)
  wait_for "the emulator's start" test -s "$work/endpoints.json"
}

# start_node <name> <zone> <seeds> [<caller listener>]
start_node() {
  local flags=()
  if [[ -n $3 ]]; then flags+=(--cluster-seeds "$3"); fi
  if [[ -n ${4:-} ]]; then flags+=(--listen-caller "$4"); fi
  "$build_dir/covewingd" --settings "${node_settings[$1]:-$work/common.toml}" --node-name "$1" --node-zone "$2" \
    "${flags[@]}" >"$work/$1.out" 2>"$work/$1.log" &
  pids+=($!)
  node_pids[$1]=$!
  wait_for "the start of $1" listening "$1" caller
}

write_settings() {
  cat >"$work/common.toml" <<END
[node]
region = "vn-south"

[listen]
caller = "127.0.0.1:0"
operator = "127.0.0.1:0"
peer = "127.0.0.1:0"
metrics = "127.0.0.1:0"

[platform]
table = "$(service table)"
objects = "$(service object_store)"
machines = "$(service machine_list)"

[operator]
key = "$operator_key"
END
}

start_fleet() {
  echo "demo: starting the emulated fleet and three nodes"
  start_emulator
  write_settings
  start_node node-a vn-south-a ""
  local seed node
  seed=$(listener node-a peer)
  start_node node-b vn-south-b "$seed"
  start_node node-c vn-south-c "$seed"
  for node in node-a node-b node-c; do wait_for "readiness of $node" ready "$node"; done

  echo "demo: creating the template through node-a"
  create_template
  rulebook >"$work/rulebook"
  wait_for "the template's arrival at node-b" known node-b
  wait_for "the template's arrival at node-c" known node-c
}

# Stops every node as planned; each must end by itself with exit status 0.
stop_nodes() {
  echo "demo: a planned stop of every node"
  local node pid
  for node in "${!node_pids[@]}"; do kill -TERM "${node_pids[$node]}"; done
  for node in "${!node_pids[@]}"; do
    pid=${node_pids[$node]}
    wait_for "the stop of $node" gone "$pid"
    wait "$pid" || fail "$node did not stop as planned"
  done
}

create_template() {
  cat >"$work/judges.json" <<END
{
  "keys": ["$tenant_key"],
  "body": {
    "models": [{"model": "rules"}],
    "priority": "interactive",
    "deadline_ms": 10000,
    "hold_ms": 2000,
    "applications": [
      {"path": "/standings", "application": "pairings", "not_repeatable_methods": ["POST"]}
    ]
  }
}
END
  "$build_dir/covewingctl" template create judges "$work/judges.json" \
    --node "$(listener node-a operator)" --key "$operator_key"
}

# A rulebook of some 4,000 tokens, the prefix that both questions share.
rulebook() {
  python3 -c 'print(" ".join(f"Rule {n}: a player may not draw card {n}." for n in range(400)))'
}

# ask <node> <system text file> <question> <answer file>: a streamed request through a node.
ask() {
  python3 -c '
import json, sys
print(json.dumps({"model": "rules", "stream": True, "max_tokens": 16, "messages": [
    {"role": "system", "content": open(sys.argv[1]).read()},
    {"role": "user", "content": sys.argv[2]}]}))' "$2" "$3" >"$work/body.json"
  curl -fsS -N -m 20 "http://$(listener "$1" caller)/v1/chat/completions" \
    -H "Authorization: Bearer $tenant_key" -H 'Content-Type: application/json' \
    --data-binary "@$work/body.json" >"$4" || return 1
}

# usage <answer file> <field>: a number of the answer's usage; the stream must be complete.
usage() {
  python3 - "$1" "$2" <<'END'
import json, sys
events = [line[6:] for line in open(sys.argv[1]).read().splitlines() if line.startswith("data: ")]
assert events and events[-1] == "[DONE]", "the stream has no [DONE]"
usage = json.loads(events[-2])["usage"]
usage["cached_tokens"] = usage["prompt_tokens_details"]["cached_tokens"]
print(usage[sys.argv[2]])
END
}

# ask_and_tell <node> <question>: a question on the rulebook, and what its answer took from a cache.
cached_sum=0
ask_and_tell() {
  ask "$1" "$work/rulebook" "$2" "$work/answer" || fail "the request through $1 failed"
  prompt_tokens=$(usage "$work/answer" prompt_tokens)
  local cached
  cached=$(usage "$work/answer" cached_tokens)
  ((cached_sum += cached)) || true
  echo "demo: $1: $cached of $prompt_tokens prompt tokens were cached"
}

known() { ask "$1" /dev/null "Is this tenant known here?" "$work/probe" 2>/dev/null; }
