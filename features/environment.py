"""Set up and count scenarios."""

from __future__ import annotations

import asyncio
import logging
import sys

COUNTS = {"passed": 0, "failed": 0}


def before_all(context):
    """Keep logs of expected failures out of the report."""
    logging.disable(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give each scenario an event loop and a list of what to close."""
    context.runner = asyncio.Runner()
    context.closers = []


def after_scenario(context, scenario):
    """Close what the scenario opened, and count it."""
    for close in reversed(context.closers):
        context.runner.run(close())
    context.runner.close()
    COUNTS["passed" if scenario.status.name == "passed" else "failed"] += 1


def after_all(context):
    """Print the line that closes a run."""
    line = f"{COUNTS['passed']} passed, {COUNTS['failed']} failed"
    print(line, file=sys.__stdout__)
