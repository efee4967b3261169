#!/usr/bin/env bash
# A node that was told to reload while it started ended: it ignores SIGHUP before it logs its first line.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec python3 tests/scripts/reload_at_start.py "${COVEWING_BUILD_DIR:-build}/covewing-node"
