#!/usr/bin/env bash
# A short fault soak of covewing-node from fixed seeds; the long one is started by hand (scripts/relay_soak).
set -euo pipefail
cd "$(dirname "$0")/../.."
for seed in 2 9; do
  python3 tests/soak/relay_soak.py --program "${COVEWING_BUILD_DIR:-build}/covewing-node" --seed "$seed" --seconds 15
done
