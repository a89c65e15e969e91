#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They need only
# Python's own library, so they are compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-3
