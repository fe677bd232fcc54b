#!/usr/bin/env bash
# A variant of run.sh with planned work only; same exit statuses.
cd "$(dirname "$0")" && python3 -c 'import tomllib' || exit 2
exec python3 -B planned.py
