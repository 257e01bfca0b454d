#!/usr/bin/env bash
# Checks that what the cases need is there. The stand-ins are Python and need no
# build; the program under review comes from the build of the deploy file.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
python3 - "$here" <<'PY'
import pathlib
import sys
for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
[ -x "$here/../target/tools/basilusher-node" ] || {
  echo "target/tools/basilusher-node is missing: run the deploy file's build" >&2
  exit 1
}
