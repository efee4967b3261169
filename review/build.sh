#!/usr/bin/env bash
# Builds the stand-ins of the cases. All are Python programs of this repository and need no build; this checks
# that the interpreter is there and that each of them compiles.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
find . -name '*.py' -print0 | sort -z | while IFS= read -r -d '' file; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
