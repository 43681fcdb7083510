#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python files of the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
