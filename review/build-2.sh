#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python scripts in standins-2; nothing has to be built. Checks that they can run.
set -e
cd "$(dirname "$0")"
exec python3 -B -c 'import sys; sys.path.insert(0, "standins-2"); import deployment, traffic'
