#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are Python files that run
# from their sources, with the libraries that the build of the deploy file has placed.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -c "import h11, msgspec, hornbeamgw.testing.store" || exit 1
