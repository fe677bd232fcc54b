#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are Python modules in review/standins-3, so
# this only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import pathlib
for it in sorted(pathlib.Path("review/standins-3").glob("*.py")):
    compile(it.read_text(), str(it), "exec")'
