#!/usr/bin/env bash
# scripts/log_summary on a few lines of logs: losses, what was known of shared parts, changes.
set -euo pipefail
cd "$(dirname "$0")/../.."

line() { echo "time=2026-01-01T00:00:$1Z severity=info event=1 name=$2 process=\"n\" $3"; }
dispatch() {
  echo "request=\"q\" replica=\"$1\" candidates=\"$2\" rank=\"$3\" part=\"7\" salt=\"w1\" shared=\"1000\" cached=\"$4\" fetch_tokens=\"$5\""
}
logs() {
  line 01.0 RelayDispatched "$(dispatch r1 9 0 0 0)"
  line 01.5 RelayDispatched "$(dispatch r2 7 1 0 0)"
  line 02.0 RelayDispatched "$(dispatch r1 5 0 0 0)"
  line 04.0 RelayDispatched "$(dispatch r2 3 2 400 1000)"
  line 04.1 RequestRefused 'request="q" code="400" why="full"'
  line 04.2 RequestRefused 'request="p" code="400" why="full"'
  line 04.3 OrderFinished 'replica="r1" outcome="served" after_ms="1000" load_ms="700"'
  line 04.4 OrderFinished 'replica="r2" outcome="served" after_ms="3000" load_ms="700"'
  local peer='channel="placement" bytes_in_zone'
  line 10.0 PeerTraffic "$peer=\"2000\" bytes_to_other_zones=\"500000\" frames=\"40\""
  line 20.0 PeerTraffic "$peer=\"3000\" bytes_to_other_zones=\"600000\" frames=\"50\""
  # The node has restarted.
  line 30.0 PeerTraffic "$peer=\"1000\" bytes_to_other_zones=\"200000\" frames=\"10\""
  echo "a line that is none of ours"
}

summary=$(logs | scripts/log_summary)
expect() {
  grep -qF -- "$1" <<<"$summary" || {
    echo "missing in the summary: $1"
    printf '%s\n' "$summary"
    exit 1
  }
}
expect "2  RequestRefused 400 full"
expect "4000  shared"
expect "1000  first reading"
expect "1000  not known, sent to another replica before"
expect "1000  not known, sent to this replica before"
expect "400  cached at the replica"
expect "600  to be fetched"
expect "2.00  replicas each deepest shared part was sent to"
expect "0  7"
expect "2  3"
expect "served: 2, 2000"
expect "placement: 60, 0.004, 0.800"
echo "log_summary: ok"
