#!/bin/bash
# Plays the case; TROUBLE=0 leaves out the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 exec timeout 110 python3 review/3/case.py
