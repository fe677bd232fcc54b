#!/bin/sh
# A variant of run.sh, with planned work only; same exit codes.
exec python3 -B "$(dirname "$0")/planned.py"
