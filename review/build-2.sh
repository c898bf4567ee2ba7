#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files that need nothing but the
# standard library; the gateways are built by the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q stand-ins-2
