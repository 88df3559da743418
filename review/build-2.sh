#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the hosts: the
# project's stand-in of the store and `upstream_2.py`. They are Python programs
# that need `target/deps` of the deploy file's build and nothing else, so this
# checks that they can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review python3 -W ignore -c "
import harness_2
import test.standins.platform
import upstream_2
"
echo "the stand-ins are ready"
