"""Steps for the deploy template: what a deployment's figures become."""

from __future__ import annotations

import copy
import random
from pathlib import Path

import msgspec
from behave import then, when

from hornbeamgw.core import stopping
from hornbeamgw.core.options import Settings, parse_settings
from hornbeamgw.testing.template import render

TEMPLATE = Path("deploy/daemon.yaml.tmpl")
FIELDS = {
    "ip": "10.1.0.8",
    "zone": "suva-a",
    "region": "fj-central",
    "service": "huvo11a",
    "port_range": [7620, 7635],
    "listen_addrs": {
        "outbound": "10.1.0.8:8304",
        "ready": "10.1.0.8:8302",
        "control": "10.1.0.8:8306",
    },
    "limits": {"bandwidth_mbps": 50.0},
    "bounds": {
        "retry_budget_ratio": 0.2,
        "budget_window_s": 10,
        "retry_slack": 430,
        "grace_s": 6,
        "quota_window_s": 7,
        "quota_overage": 0.15,
        "quota_slack": 30,
    },
    "platform": {"address": "10.200.1.7:8309"},
}
# Each figure that the template takes over, and the setting that it becomes.
KEYS_BY_FIELD = {
    "limits.bandwidth_mbps": "bandwidth",
    "bounds.retry_budget_ratio": "budget_ratio",
    "bounds.budget_window_s": "budget_window",
    "bounds.retry_slack": "budget_slack",
    "bounds.grace_s": "calls_grace",
    "bounds.quota_window_s": "quota_window",
    "bounds.quota_overage": "quota_overage",
    "bounds.quota_slack": "quota_slack",
}


def with_value(path, value):
    """Return the fields with one changed, or left out with None."""
    fields = copy.deepcopy(FIELDS)
    section, _, name = path.rpartition(".")
    place = fields[section]
    if value is None:
        del place[name]
    else:
        place[name] = value
    return fields


def settings_of(fields):
    """Return the settings and problems that fields lead to."""
    text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
    loaded, problems = parse_settings(text, "node.yaml", {})
    return loaded and loaded.settings, problems


@when('the deploy template is rendered with "{path}" as {value}')
def rendered_with(context, path, value):
    context.settings, context.problems = settings_of(with_value(path, msgspec.json.decode(value)))


@when('the deploy template is rendered without "{path}"')
def rendered_without(context, path):
    context.settings, context.problems = settings_of(with_value(path, None))


@then("the settings hold a budget slack of {value:g}")
def slack_held(context, value):
    assert context.settings is not None, context.problems
    assert context.settings.budget_slack == value, context.settings


@then('the settings hold the default of "{key}"')
def default_held(context, key):
    assert context.settings is not None, context.problems
    assert getattr(context.settings, key) == Settings._field_defaults[key], context.settings


@then("a stop ends {seconds:g} s after the signal")
def stop_ends(context, seconds):
    settings = context.settings
    assert settings is not None, context.problems
    stop = stopping.plan(
        0.0, settings.calls_leave_after, settings.calls_drain_limit, settings.calls_grace
    )
    assert round(stop.ends_at, 3) == seconds, stop


@then('a problem names the key "{key}" and the value {value:d}')
def problem_named(context, key, value):
    assert [(p.key, p.given) for p in context.problems] == [(key, value)], context.problems


def drawn(rng):
    """Return a figure as the pages allow: whole, a fraction, zero, very large, or missing."""
    kind = rng.randrange(5)
    if kind == 0:
        return None
    if kind == 1:
        return 0
    if kind == 2:
        return rng.randrange(1, 10**9)
    if kind == 3:
        return rng.uniform(0, 100)
    return rng.uniform(1, 9) * 10.0 ** rng.randrange(-6, 18)


@when("the deploy template is rendered {count:d} times with figures drawn by seed {seed:d}")
def rendered_often(context, count, seed):
    rng = random.Random(seed)
    context.rendered = []
    for _ in range(count):
        fields = copy.deepcopy(FIELDS)
        figures = {path: drawn(rng) for path in KEYS_BY_FIELD}
        for path, value in figures.items():
            section, _, name = path.rpartition(".")
            fields[section][name] = value
        context.rendered.append((figures, *settings_of(fields)))


@then("each rendering gives settings with those figures")
def each_held(context):
    for figures, settings, problems in context.rendered:
        assert settings is not None, (figures, problems)
        for path, value in figures.items():
            key = KEYS_BY_FIELD[path]
            expected = Settings._field_defaults[key] if value is None else value
            assert getattr(settings, key) == expected, (path, value, getattr(settings, key))
