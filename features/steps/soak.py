"""Steps for the fleet soak: real processes on loopback."""

from __future__ import annotations

from behave import given, then, when

from hornbeamgw.core.verdict import Reason, Verdict
from hornbeamgw.testing.load import Outcome
from properties import fleet_soak, planned_soak
from properties.planned_load import KINDS_BY_NAME, Told
from properties.planned_soak import Records, Stop

DAEMON = "127.0.0.1:1"
DEADLINE_S = 5.0
REQUEST_ID = "p1"
# The verdict and reason, whether the answer had begun and whether the connection was closed on it.
ENDS = {
    "cut midway": (Verdict.MAY_HAVE_RUN, "", True, True),
    "cut unanswered": (Verdict.MAY_HAVE_RUN, "", False, True),
    "may have run": (Verdict.MAY_HAVE_RUN, Reason.LINK_LOST, True, False),
    "deadline": (Verdict.MAY_HAVE_RUN, Reason.DEADLINE, True, False),
    "not run": (Verdict.NOT_RUN, Reason.DRAINING, True, False),
    "answered": (Verdict.ANSWERED, "", True, False),
}


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


@when("daemons stop as planned for {seconds:d} s by seed {seed:d} under short calls")
def under_short_calls(context, seconds, seed):
    context.report = context.runner.run(planned_soak.run(seed, seconds, large=False))


@when(
    "daemons stop as planned for {seconds:d} s by seed {seed:d} "
    "under short calls while servers name limits and leave"
)
def under_declarations(context, seconds, seed):
    context.report = context.runner.run(planned_soak.run(seed, seconds, large=False, declares=True))


@then("servers have named limits and have left")
def have_declared(context):
    assert context.report.faults["limit"] and context.report.faults["leave"], context.report


@when(
    "daemons stop as planned for {seconds:d} s by seed {seed:d} "
    "under short calls and large answers"
)
def under_large_answers(context, seconds, seed):
    context.report = context.runner.run(planned_soak.run(seed, seconds))


@then("each whole request got a whole answer or a whole refusal, and each daemon stopped in time")
def nothing_taken(context):
    report = context.report
    assert report.faults["stop"] and report.faults["SIGHUP"] and report.faults["edit"], report
    assert report.verdicts["answered"] > report.calls / 2, report
    assert not report.broken, report


@then("the links were used to {least:g} of their width at least")
def links_used(context, least):
    assert context.report.link_use >= least, context.report


@given("a daemon that was told to stop at {at:g} s and ended at {ended:g} s")
def stopped(context, at, ended):
    context.stop = Stop(DAEMON, at, ended, 0, "daemon.log")


def told(kind, sent, ended, end):
    """Return what a caller saw of one request."""
    verdict, reason, begun, closed = ENDS[end]
    outcome = Outcome(REQUEST_ID, KINDS_BY_NAME[kind], verdict, True, reason, sent, ended - sent)
    return Told(outcome, DAEMON, sent + DEADLINE_S, begun, closed, 0)


def judged(one, stops, spans):
    """Return the promises that are found broken, and how many requests might be cut."""
    records = Records({DAEMON: {"worked": {REQUEST_ID: spans} if spans else {}}})
    breaches, excused = planned_soak.judge([one], stops, records)
    return [breach.promise for breach in breaches], excused


@when(
    'a request sent at {sent:g} s with a deadline of 5 s ends at {ended:g} s as "{end}", '
    "its server at work from {begun:g} to {done:g} s"
)
def request_ends(context, sent, ended, end, begun, done):
    spans = [(begun, done)] if done else []
    context.judged = judged(told("layout", sent, ended, end), [context.stop], spans)


@then('the soak calls it "{promise}"')
def called(context, promise):
    expected = {"nothing": ([], 0), "may be cut": ([], 1)}.get(promise, ([promise], 0))
    assert context.judged == expected, context.judged


@when(
    "it passed on at {told_at:g} s that a server leaves, which gets a request of its at {sent:g} s"
)
def gets_late(context, told_at, sent):
    knew, late = told("layout", told_at, told_at, "answered"), told(
        "layout", sent, sent, "answered"
    )
    knew = knew._replace(outcome=knew.outcome._replace(request_id="knew"))
    leaving = {"told": ["knew"], "late": [REQUEST_ID]}
    report = {"worked": {}, "leavings": [leaving], "over_limit": 0, "over_room": 0}
    breaches = planned_soak.ignored_declarations(
        [knew, late], [context.stop], Records({DAEMON: report})
    )
    context.promises = [breach.promise for breach in breaches]


@then("the soak counts {count:d} requests to a leaving server")
def counts_late(context, count):
    assert context.promises == ["after_leaving"] * count, context.promises


@then('a request told "not run" that ran is "{promise}"')
def false_tale(context, promise):
    found = judged(told("layout", 99.0, 101.0, "not run"), [context.stop], [(99.0, 99.1)])
    assert found == ([promise], 0), found


@then('a booking that ran twice is "{promise}"')
def twice(context, promise):
    spans = [(99.0, 99.1), (99.2, 99.3)]
    found = judged(told("reservation", 99.0, 101.0, "answered"), [context.stop], spans)
    assert found == ([promise], 0), found


@then('an answer that no server gave is "{promise}"')
def invented(context, promise):
    found = judged(told("layout", 99.0, 101.0, "answered"), [context.stop], [])
    assert found == ([promise], 0), found


@then('a daemon that ends with code 3 or -9 is "{promise}"')
def ended_ill(context, promise):
    stops = [context.stop._replace(code=code) for code in (3, -9)]
    found = judged(told("layout", 99.0, 101.0, "answered"), stops, [(99.0, 99.1)])
    assert found == ([promise, promise], 0), found
