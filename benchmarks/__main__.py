"""Runs the benchmarks named on the command line, or all of them."""

import argparse
from collections.abc import Callable
import pathlib
import sys

from benchmarks import fold
from benchmarks import layers
from benchmarks import poison
from benchmarks import poison_fingerprints
from benchmarks import rows
from benchmarks import wire
from bridgecross_core import codec

BENCHMARKS: dict[str, Callable[[], list[rows.Row]]] = {
    "fold": fold.run,
    "wire": wire.run,
    "layers": layers.run,
    "poison": poison.run,
    "poison-ways": poison_fingerprints.run,
}
"""The functions that run the benchmarks, by name."""


def main() -> int:
    """Runs benchmarks and prints a table of their rows."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument(
        "names", nargs="*", metavar="NAME", help="a benchmark (default: all)"
    )
    parser.add_argument("--json", type=pathlib.Path, metavar="FILE")
    options = parser.parse_args()
    unknown = set(options.names) - set(BENCHMARKS)
    if unknown:
        parser.error(f"unknown: {', '.join(unknown)}; {', '.join(BENCHMARKS)}")
    results: list[rows.Row] = []
    for name in options.names or BENCHMARKS:
        results += BENCHMARKS[name]()
    print(rows.render(results))
    if options.json:
        options.json.write_text(codec.to_readable_json(results, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
