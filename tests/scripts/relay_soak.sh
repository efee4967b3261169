#!/usr/bin/env bash
# A short fault soak of covewing-node from fixed seeds; the long one is started by hand (scripts/relay_soak).
set -euo pipefail
cd "$(dirname "$0")/../.."
# run_seed <seed> <seconds>
run_seed() {
  python3 tests/soak/relay_soak.py --program "${COVEWING_BUILD_DIR:-build}/covewing-node" --seed "$1" --seconds "$2"
}
run_seed 2 15
run_seed 9 15
run_seed 608 20 # versions named while the nodes that read the feeds are killed or paused
