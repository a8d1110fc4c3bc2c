#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "build first: the command of deploy/system.toml"; exit 2; }
exec env PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 review/4/scenario.py
