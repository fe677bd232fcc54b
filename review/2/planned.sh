#!/usr/bin/env bash
# A variant of run.sh with planned work only; same exit codes.
cd "$(dirname "$0")" && exec python3 -B planned.py
