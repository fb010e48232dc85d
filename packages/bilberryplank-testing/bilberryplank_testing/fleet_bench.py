"""Measures what the processes share: `python -m bilberryplank_testing.fleet_bench`.

Prints one line of key=value pairs for each measurement. Times are the least of several runs, in
microseconds or milliseconds as named; memory is what the interpreter allocated, in bytes.
"""

from __future__ import annotations

from bilberryplank_testing._fleet_configuration import measure_configuration
from bilberryplank_testing._fleet_links import measure_ranking, measure_spread
from bilberryplank_testing._fleet_scaling import measure_scaling
from bilberryplank_testing._fleet_usage import measure_usage

ORGANISATIONS = (100, 1000, 8600)


def main() -> None:
    """Runs every measurement."""
    for count in ORGANISATIONS:
        measure_configuration(count)
    measure_ranking()
    measure_usage()
    measure_spread()
    measure_scaling()


if __name__ == "__main__":
    main()
