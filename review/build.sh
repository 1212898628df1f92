#!/usr/bin/env bash
# The stand-ins are Python files; checks that they can be loaded. The program is built by the line `build` of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import glob
for path in ["common/standins.py", *sorted(glob.glob("*/case.py"))]:
    compile(open(path).read(), path, "exec")
P
