#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python modules that need only the standard
# library. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/*.py review/[1-5]
if [ ! -d target/deps ]; then
  echo "target/deps is missing: run the build of deploy/system.toml" >&2
  exit 1
fi
