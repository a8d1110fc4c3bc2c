"""Steps for rollouts: one daemon's decisions, and whole ones in simulated time."""

from __future__ import annotations

import random

from behave import given, then, when

from benchmarks.rollouts import LOADS, TROUBLES, badness_of
from hornbeamgw.core import evidence, exposure, tally
from hornbeamgw.core.evidence import EvidenceState
from hornbeamgw.core.exposure import Arm, Asked, ExposureBound, ExposureState
from hornbeamgw.core.membership import Member
from hornbeamgw.core.standing import Phase, Standing
from hornbeamgw.core.tally import Count, Ended, Tally
from hornbeamgw.core.verdict import Reason, may_have_run, not_run
from hornbeamgw.testing.rollout_model import play

SERVICE = "roster"
OPEN = 0.0  # a time of day at which a trial is open

# One daemon


@given("a daemon of a fleet of {daemons:d} that may expose {share:g} of the requests and {slack:d} more")  # fmt: skip  # noqa: E501
def one_daemon(context, daemons, share, slack):
    context.state = ExposureState(ExposureBound(share, slack))
    exposure.note_members(context.state, daemons)
    context.number, context.step = 1, 0
    context.rng = random.Random(1)


def hear(context, phase, target="v2"):
    context.step += 1
    length_ms = 0 if phase is Phase.MOVING else 65535
    standing = Standing(SERVICE, target, context.number, phase, context.step, length_ms)
    exposure.hear(context.state, standing, 10.0)


@given('it hears that the new version is "{phase}"')
def hears(context, phase):
    hear(context, Phase[phase])


@given('it hears that the third version is "{phase}"')
def hears_third(context, phase):
    hear(context, Phase[phase], "v3")


@given("it hears of a newer order for the same version")
def newer(context):
    context.number += 1
    hear(context, Phase.HELD)


@given("it hears of a newer order for a third version")
def third(context):
    context.number += 1
    hear(context, Phase.HELD, "v3")


def arm(context, is_first=True):
    return exposure.arm_of(context.state, Asked(SERVICE, 0.1, is_first), OPEN, context.rng)


def goes_to_new(context, is_first=True):
    """Return whether a request goes to the new version, with servers of two versions there."""
    servers = members("v1", "v2")
    exposure.note_seen(context.state, SERVICE, {"v1", "v2"}, 0.0)
    if arm(context, is_first) is Arm.BEFORE:
        found = exposure.servers_before(context.state, SERVICE, servers, 1000.0)
    else:
        found = exposure.new_servers(context.state, SERVICE, servers)
    (version,) = {member.software for member in found}
    return version == "v2"


def send(context, count, fails):
    context.sent = 0
    for _ in range(count):
        is_new = goes_to_new(context)
        context.sent += is_new
        software = "v2" if is_new else "v1"
        exposure.note_sent(context.state, SERVICE, software)
        exposure.note_reached(context.state, SERVICE)
        exposure.note_answer(context.state, SERVICE, software, fails and is_new)


@when("{count:d} requests reach servers of the service")
def reach(context, count):
    send(context, count, False)


@when("{count:d} requests reach servers of the service, and those at the new version fail")
def reach_and_fail(context, count):
    send(context, count, True)


@then("at most {most:d} of them went to the new version")
def at_most(context, most):
    assert context.sent <= most, context.sent


@then("at least {least:d} of them went to the new version")
def at_least(context, least):
    assert context.sent >= least, context.sent


@then("the new version gets nothing until it is tried")
def nothing_yet(context):
    send(context, 500, False)
    assert context.sent == 0
    hear(context, Phase.TRIAL)
    send(context, 500, False)
    assert context.sent > 0


def members(*versions):
    return [
        Member(f"{version}-{index}", "dc", "r", 1, service=SERVICE, software=version)
        for version in versions
        for index in range(2)
    ]


def versions_before(context, now=1000.0):
    servers = members("v1", "v2", "v3")
    return {m.software for m in exposure.servers_before(context.state, SERVICE, servers, now)}


@then("requests go to the version of before alone")
def before_alone(context):
    now = getattr(context, "now", 1000.0)
    servers = members("v1", "v2") if hasattr(context, "now") else members("v1", "v2", "v3")
    found = exposure.servers_before(context.state, SERVICE, servers, now)
    assert {m.software for m in found} == {"v1"}, found


@given("it has known the version of before for a minute")
def known(context):
    context.now = 100.0
    exposure.note_seen(context.state, SERVICE, {"v1"}, context.now - 60)


@when("a server of another version appears")
def appears(context):
    exposure.note_seen(context.state, SERVICE, {"v1", "v2"}, context.now)


@then("a second later they go to both")
def both(context):
    later = context.now + 1.01
    found = exposure.servers_before(context.state, SERVICE, members("v1", "v2"), later)
    assert {m.software for m in found} == {"v1", "v2"}, found


@then("a second attempt may go to the new version too")
def second_too(context):
    assert goes_to_new(context, is_first=False)


@then("a second attempt goes to the version of before")
def second_before(context):
    for _ in range(500):
        exposure.note_reached(context.state, SERVICE)
    assert Arm.NEW in {arm(context) for _ in range(100)}
    assert {arm(context, is_first=False) for _ in range(100)} == {Arm.BEFORE}


@when("a server of a third version appears later")
def third_appears(context):
    exposure.note_seen(context.state, SERVICE, {"v1", "v2"}, 0.0)
    exposure.note_seen(context.state, SERVICE, {"v1", "v2", "v3"}, 60.0)


@then("requests go to the new and the third version, and no more to the one before")
def new_and_third(context):
    assert versions_before(context) == {"v2", "v3"}


# Answers

ENDS = {
    "status 200": (None, 200),
    "status 404": (None, 404),
    "status 500": (None, 500),
    "a broken answer": (may_have_run(Reason.BACKEND_BROKE), 0),
    "its deadline": (may_have_run(Reason.DEADLINE), 0),
    "a refusal": (not_run(Reason.BACKEND_REFUSED), 0),
    "its caller gone": (may_have_run(Reason.CALLER_GONE), 0),
}
VERDICTS = {True: "bad", False: "good", None: "unknown"}


@given("an attempt that ended with {how} after {held:g} of its typical time")
def ended(context, how, held):
    failure, status = ENDS[how]
    context.ended = Ended(failure, status, held * 0.2, 0.2, 1.0)


@given("an attempt at a cold server that took {times:g} times its typical time")
def ended_cold(context, times):
    context.ended = Ended(None, 200, times * 0.2, 0.2, 1.0, is_cold=True)


@then('that answer is "{verdict}"')
def is_so(context, verdict):
    assert VERDICTS[tally.is_bad(context.ended)] == verdict


@given("reports of a new server: {first:d} answers, {second:d} answers, then {third:d} after it has started again")  # fmt: skip  # noqa: E501
def reports(context, first, second, third):
    context.evidence = EvidenceState("v2")
    for now, answers in enumerate((first, second, third)):
        counts = {"r-0": Count(answers, 0)}
        evidence.take(context.evidence, "n0", Tally(SERVICE, 0, "v2", counts), float(now))


@then("{answers:d} answers of the new version were seen")
def seen(context, answers):
    assert context.evidence.new.answers == answers, context.evidence.new


# Simulated


@when('{count:d} rollouts of a version that is bad "{badness}" are played from seed {seed:d}')
def played(context, count, badness, seed):
    context.outcomes, context.is_good = [], badness == "none"
    for index in range(count):
        rng = random.Random(f"{badness} {seed} {index}")
        load = LOADS[index % len(LOADS)]
        trouble = TROUBLES[sorted(TROUBLES)[index % len(TROUBLES)]]
        version = badness_of(badness, load, rng)
        outcome, _ = play(load, version, trouble, rng.uniform(10.0, 20.0), seed + index)
        context.outcomes.append(outcome)


@then("at least {least:d} of them are decided rightly")
def rightly(context, least):
    wanted = Phase.DONE if context.is_good else Phase.BACK
    right = sum(outcome.phase is wanted for outcome in context.outcomes)
    assert right >= least, context.outcomes


@then("no bad version got more than its bound")
def within_bound(context):
    over = [o for o in context.outcomes if o.is_over_bound or o.sent_after_back]
    assert not over, over
