#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program that
# the deploy file builds. All stand-ins are Python, the project's own in
# test/soak/standins too: they are only checked for syntax, and nothing is
# written.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
test -x target/tools/basilusher-node ||
  { echo "target/tools/basilusher-node is missing: build as the deploy file says" >&2; exit 1; }
for file in test/soak/standins/*.py review/standins-2/*.py \
  review/{6,7,8,9,10}/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
