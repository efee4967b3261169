#!/usr/bin/env bash
# scripts/log_summary on a small log: what became of each request, by cause, urgency and route,
# tenant, zone, node and replica, and the picture by seconds. The log's last request is of a node
# whose lines lack the newer fields.
set -euo pipefail
cd "$(dirname "$0")/../.."

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
summary=$(scripts/log_summary --plot "$work/day.svg" tests/scripts/log_summary_requests.log)

fail() {
  echo "$1"
  printf '%s\n' "$summary"
  exit 1
}
section() { sed -n "/^$1/,/^[^ ]/p" <<<"$summary" | sed '$d'; }
# Section, then the whole line expected in it.
expect() { section "$1" | grep -qxF -- "  $2" || fail "missing under '$1': $2"; }

# asked | in time | late | served | refused | failed | left | held | first byte | paused
expect "Requests by urgency, route" "0  chat | 9 | 1 | 2 | 0 | 2 | 3 | 1 | 111 | 247 | 11"
expect "Requests by urgency, route" "7  bulk | 2 | 0 | 0 | 0 | 2 | 0 | 0 | 1250 | - | -"
expect "Requests by tenant" "blue | 2 | 0 | 0 | 0 | 2 | 0 | 0 | 1250 | - | -"
expect "Requests by zone" "node-south | 6 | 0 | 1 | 0 | 4 | 1 | 0 | 567 | 300 | 25"
expect "Requests by node" "node-south-2 | 6 | 0 | 1 | 0 | 4 | 1 | 0 | 567 | 300 | 25"
expect "Requests by the last replica" "r2 | 3 | 33 | 300"
expect "Not served" "refused for room | bulk | 2 | 15.38"
expect "Not served" "held to the deadline | chat | 1 | 7.69"
expect "Not served" "cut by a crash | chat | 1 | 7.69"
expect "Not served" "silent replica | chat | 1 | 7.69"
expect "Not served" "500 of a replica after the last attempt | chat | 1 | 7.69"
expect "Not served" "key not confirmed | - | 1 | 7.69"
expect "Not served" "no connection | chat | 1 | 7.69"
expect "Not served" "the caller left | chat | 1 | 7.69"
first=$(section "Not served" | sed -n 3p)
[[ $first == "  refused for room"* ]] || fail "the largest cause is not the first"
# A request of an older node is served, in time or not.
expect "Requests by urgency, route" "-  chat | 1 | 0 | 0 | 1 | 0 | 0 | 0 | - | 200 | -"
for line in asked "in time" late refused candidates waiting; do
  grep -q ">$line<" "$work/day.svg" || fail "no line in the picture: $line"
done
echo "log_summary_requests: ok"
