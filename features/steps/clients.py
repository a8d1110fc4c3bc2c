"""Steps for the example of the client guide."""

from __future__ import annotations

import re
import time
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when


@given("the example of the client guide")
def example(context):
    text = Path("docs/clients.md").read_text(encoding="utf-8")
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    context.waited = []
    names = {"time": SimpleNamespace(sleep=context.waited.append, time=time.time)}
    exec(code, names)
    context.book = names["book"]


@when('the mesh answers "{answers}" and the booking {found} found')
def answers(context, answers, found):
    verdicts = [None if a == "answered" else a for a in answers.split(", ")]
    context.sent = 0

    def send(booking):
        context.sent += 1
        return verdicts[context.sent - 1], "made", 20

    try:
        context.result = context.book(send, lambda b: "found" if found == "is" else None, {})
    except RuntimeError as error:
        context.result = error


@then("the booking was sent {sent:d} times and the caller gets {result}")
def result_is(context, sent, result):
    assert context.sent == sent, context.sent
    assert isinstance(context.result, RuntimeError) == (result == "an error"), context.result
    assert all(seconds == 0.02 for seconds in context.waited)
