#!/bin/sh
# Builds the stand-ins of the cases. They are Python without an extension and use the libraries in
# target/deps, so it is enough that all of them compile and load.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:packages/bilberryplank-core:packages/bilberryplank:packages/bilberryplank-testing \
    python3 -c "import bilberryplank_testing.stand_in_store, bilberryplank_testing.stand_in_upstream"
python3 -c "import sys; sys.path.insert(0, 'review/lib'); import harness"
python3 -m compileall -q review
