#!/usr/bin/env bash
# Checks tests/model/lease.pml with spin, exhaustively within its bounds: the protocol holds, each
# mechanism left out is found to be needed, and the fences are really reached.
set -euo pipefail
cd "$(dirname "$0")/../.."

model=$PWD/tests/model/lease.pml
work=${COVEWING_BUILD_DIR:-build}/lease-model
rm -rf "$work"
mkdir -p "$work"
cd "$work"

# findings NAME DEFINES...: verifies the model in a directory of that name and prints "none" after a
# complete search without errors, the assertion that failed, or "incomplete".
findings() {
  local name=$1
  shift
  mkdir -p "$name"
  (
    cd "$name"
    spin -a "$@" "$model" >/dev/null
    cc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=1024 -o verifier pan.c
    ./verifier -m100000 -w22 >verifier.log 2>&1 || true
    if grep -q "assertion violated" verifier.log; then
      sed -n 's/.*assertion violated *\(.*\) (at depth.*/\1/p' verifier.log
    elif grep -q "errors: 0" verifier.log && ! grep -q "not completed" verifier.log; then
      echo none
    else
      echo incomplete
    fi
  )
}

failed=0
expect() {
  local what=$1 wanted=$2 found=$3
  if [[ $found == "$wanted" ]]; then
    echo "lease model: $what"
  else
    echo "lease model: wanted to see that $what; wanted: $wanted, found: $found" >&2
    failed=1
  fi
}

expect "the protocol holds" none "$(findings whole)"
expect "without the wait, two nodes hold the lease" "!((validUntil[(1-self)]>now))" \
  "$(findings no-wait -DSHORT_WAIT)"
expect "without the engine's check, an older order is obeyed" "(orderToken>=engineToken)" \
  "$(findings no-fencing -DBREAK_FENCING)"
expect "without the tenure row, a former holder writes" "(orderToken==rowToken)" \
  "$(findings no-tenure -DBREAK_TENURE)"
expect "late acts are reached and refused" "!(staleUse)" "$(findings late -DFIND_STALE_USE)"
exit "$failed"
