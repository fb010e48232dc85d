#!/bin/sh
# The scripts of review/6 and later: their stand-ins are Python and run from the sources, with the
# libraries that the build of the deploy file has put into target/deps. Checks that all is there.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=review/lib-2 exec python3 -c "import small_world, http_caller; print('stand-ins ready')"
