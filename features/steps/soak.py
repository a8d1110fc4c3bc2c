"""Steps for the fleet soak: real processes on loopback."""

from __future__ import annotations

from behave import then, when

from properties import fleet_soak


@when("{count:d} nodes are harmed {steps:d} times by seed {seed:d}")
def harmed(context, count, steps, seed):
    context.report = context.runner.run(fleet_soak.run(seed, steps, count))


@then("no call is lost, doubled, not whole or told falsely, and no version goes back")
def kept(context):
    report = context.report
    assert report.calls > 0 and sum(report.faults.values()) > 0, report
    promises = (report.lost, report.doubled, report.said_not_run_but_ran, report.not_whole)
    assert promises == (0, 0, 0, 0) and not report.reverted and not report.violations, report
    assert not report.cut_off, report


@then("afterwards a change is in force everywhere and callers are served")
def served(context):
    assert not context.report.not_converged and not context.report.unserved_after, context.report
