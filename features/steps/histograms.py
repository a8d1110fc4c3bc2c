"""Steps for latency histograms."""

from __future__ import annotations

import random
import sys

from behave import then, when
from hdrh.histogram import HdrHistogram

from hornbeamgw.core.histogram import Histogram

HOUR_US = 3_600_000_000
PERCENTS = (1.0, 25.0, 50.0, 90.0, 99.0, 99.9, 100.0)


def latency(rng, largest):
    """Return a latency whose order of magnitude is random."""
    return min(HOUR_US, max(1, round(largest ** rng.random())))


@when("{count:d} sets of random latencies are recorded in both")
def both(context, count):
    rng = random.Random(7)
    context.pairs = []
    for _ in range(count):
        own, library = Histogram(), HdrHistogram(1, HOUR_US, 2)
        largest = rng.choice((300, 50_000, 5_000_000, HOUR_US))
        for _ in range(rng.choice((1, 2, 10, 300))):
            value = latency(rng, largest)
            own.record(value)
            library.record_value(value)
        context.pairs.append((own, library))


@then("all counts, percentiles and maxima are the same")
def same(context):
    for own, library in context.pairs:
        assert own.count == library.get_total_count()
        assert own.maximum() == library.get_max_value()
        for percent in PERCENTS:
            expected = library.get_value_at_percentile(percent)
            assert own.percentile(percent) == expected, (percent, own.percentile(percent), expected)


@when("{value:d} microseconds are recorded")
def one(context, value):
    context.histogram = Histogram()
    context.histogram.record(value)


@then("the median is at least {value:d} and at most one part in 128 above it")
def within(context, value):
    median = context.histogram.percentile(50.0)
    assert value <= median <= value + value / 128, median
    assert context.histogram.maximum() == median


@when("nothing is recorded")
def nothing(context):
    context.histogram = Histogram()


@then("its percentiles and its maximum are 0")
def zero(context):
    assert [context.histogram.percentile(percent) for percent in PERCENTS] == [0] * len(PERCENTS)
    assert context.histogram.maximum() == 0


@when("{count:d} latencies from 1 microsecond to 1 hour are recorded")
def many(context, count):
    rng = random.Random(11)
    context.histogram = Histogram()
    for _ in range(count):
        context.histogram.record(latency(rng, HOUR_US))


@when("{count:d} latencies from {least:d} to {most:d} milliseconds are recorded")
def usual(context, count, least, most):
    rng = random.Random(17)
    context.histogram = Histogram()
    for _ in range(count):
        context.histogram.record(round(1000 * least * (most / least) ** rng.random()))


@then("at most {most:d} KB of counts are in use")
def bounded(context, most):
    counts = context.histogram._counts_by_range.values()
    size = sum(sys.getsizeof(part) for part in counts) + sys.getsizeof(context.histogram)
    assert 0 < size <= most * 1024, size
