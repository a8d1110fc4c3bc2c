#!/bin/bash
# Checks that the stand-ins of the cases can be started: they are Python modules, and use the
# libraries that the build of the deploy file has put under target/deps.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import hornbeamgw.testing.store, hornbeamgw.testing.template"
python3 -c "import sys; sys.path.insert(0, 'review'); import standins"
