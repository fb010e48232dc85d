#!/bin/sh
# Prepares what the scripts of the third review start: their stand-ins are Python, so they are
# compiled once and imported with the libraries of target/deps, as a check. Run after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "target/deps is missing: run the build of deploy/system.toml" >&2; exit 1; }
python3 -m compileall -q packages/bilberryplank-testing/bilberryplank_testing review/harness_3.py
python3 -c 'import sys; sys.path.insert(0, "review"); import harness_3'
