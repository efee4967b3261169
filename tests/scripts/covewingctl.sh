#!/usr/bin/env bash
# covewingctl against stand-ins of nodes: exit status, retries after lost answers under one operation
# identifier, other nodes, keys that never leave in plain, mistakes in usage.
set -euo pipefail
cd "$(dirname "$0")/../.."

ctl=$PWD/${COVEWING_BUILD_DIR:-build}/covewingctl
stub=$PWD/tests/scripts/operator_stub.py
work=$(mktemp -d)
pids=()
finish() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

failed=0
stubs=0

# start_stub BEHAVIOUR...: sets `address` and `calls` of a new stand-in.
start_stub() {
  ((stubs += 1))
  calls=$work/calls-$stubs
  local port=$work/port-$stubs
  : >"$calls"
  timeout 120 python3 "$stub" "$calls" "$port" "$@" &
  pids+=($!)
  local waited=0
  until [[ -s $port ]]; do
    ((waited += 1))
    ((waited < 300)) || { echo "covewingctl test: the stand-in did not start" >&2; exit 1; }
    sleep 0.1
  done
  address=127.0.0.1:$(cat "$port")
}

# run STATUS ARGUMENTS...: runs covewingctl and checks its exit status; output in $work/out and err.
run() {
  local wanted=$1 status=0
  shift
  "$ctl" "$@" >"$work/out" 2>"$work/err" || status=$?
  if ((status != wanted)); then
    echo "covewingctl $*: exit status $status, wanted $wanted" >&2
    cat "$work/err" >&2
    failed=1
  fi
}

# expect WHAT COMMAND...: the command must succeed.
expect() {
  local what=$1
  shift
  if ! "$@"; then
    echo "covewingctl test: $what" >&2
    failed=1
  fi
}

# operations FILE...: the different operation identifiers of the calls.
operations() { sed -n 's/.*operation=\([^&"]*\).*/\1/p' "$@" | sort -u; }
count() { wc -l <"$1"; }

echo '{"keys": ["plain-secret"], "body": {}}' >"$work/judges.json"
unreachable=127.0.0.1:1
options=(--timeout 5 --key operator-key)

# Done and refused.
start_stub ok
run 0 template create "$work/judges.json" --node "$address" "${options[@]}" --json
expect "the answer is printed" grep -q '"version": 7' "$work/out"
expect "the name is the file's" grep -q '/v1/templates/judges?' "$calls"
expect "the operator key is sent" grep -q 'Bearer operator-key' "$calls"
expect "the tenant's key is digested" bash -c '! grep -q plain-secret "$0"' "$calls"
start_stub conflict
run 1 template change judges "$work/judges.json" --if-version 3 --node "$address" "${options[@]}"
expect "the holder is named" grep -q 'version 8, by jan' "$work/err"
expect "a refusal is final" test "$(count "$calls")" = 1

# A lost answer: the same operation again, on the next node.
start_stub lose
first=$calls first_address=$address
start_stub ok
run 0 template create "$work/judges.json" --node "$first_address" --node "$address" "${options[@]}"
expect "both nodes were asked" test "$(count "$first")$(count "$calls")" = 11
expect "the operation is the same" test "$(operations "$first" "$calls" | wc -l)" = 1

# Never an answer: unknown for a change, unreachable for a question.
start_stub lose
run 4 template create "$work/judges.json" --node "$address" --rounds 2 "${options[@]}"
expect "the operation is told" grep -q -- "--operation $(operations "$calls")" "$work/err"
expect "each round asks again" test "$(count "$calls")" = 2
run 3 template list --node "$address" --rounds 1 "${options[@]}"
start_stub unknown
run 4 order swap rules 2 --node "$address" --rounds 1 "${options[@]}"

# An unknown outcome is settled by a later answer; a node that stops is passed over.
start_stub unknown ok
run 0 order swap rules 2 --node "$address" --rounds 2 "${options[@]}"
start_stub draining ok
run 0 order cancel 0123 --node "$address" --rounds 2 "${options[@]}"

# Nobody there.
run 3 template create "$work/judges.json" --node $unreachable --rounds 1 "${options[@]}"
start_stub ok
run 0 fleet --node $unreachable --node "$address" "${options[@]}"

# The operation can be given.
run 0 order load rules 2 --count 1 --operation my-operation --node "$address" "${options[@]}"
expect "the given operation is used" grep -q 'operation=my-operation' "$calls"

# Wrong usage makes no call.
before=$(count "$calls")
run 2 frobnicate --node "$address"
run 2 template create --node "$address"
run 2 template list
run 2 template list --node not-an-address
run 2 template list --count 2 --node "$address"
run 2 order load rules two --node "$address"
run 2 template create "$work/none.json" --node "$address"
expect "no call was made" test "$(count "$calls")" = "$before"
run 0 --help
expect "every verb is listed" grep -q 'check-settings' "$work/out"
run 0 order swap --help
expect "options are explained" grep -q -- '--minimum-serving' "$work/out"

# Settings are checked without a node.
echo 'colour = 1' >"$work/settings.toml"
run 1 check-settings "$work/settings.toml"
expect "the unknown key is named" grep -q 'colour' "$work/err"

exit "$failed"
