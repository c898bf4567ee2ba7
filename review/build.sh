#!/usr/bin/env bash
# Builds the stand-ins. They are Python of the standard library alone, so that compiling is all.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q rig */case.py
