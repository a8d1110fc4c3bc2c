"""Link admission: begin only as many large answers as the VM's link can send in time.

Load pattern: servers on VMs with narrow links are asked for more bytes than the links can send. At
6.5 Mbit/s an answer of 90 KB takes 130 ms, and 75 of them per second are asked of five such VMs,
which send 38. Without a limit, answers queue for the link until all of them are late.

What callers need: an answer that is accepted arrives within the latency objective. The others are
refused at once, with a time at which there will be room. So the bytes of all accepted answers
count, also of those that the server has not answered yet. An answer that can only be late, but
within its deadline, is accepted while the link is nearly idle. Small answers are not concerned:
they are sent before the parts of large ones.

Routes whose deadline is near their objective are not limited here, since their callers have no time
to return.
"""

from __future__ import annotations

from typing import NamedTuple

from hornbeamgw.core import late, transfers
from hornbeamgw.core.pacing import PART_MIN_BYTES

# Ratio of the objective that is reserved for answers that are larger than expected, and for the
# link to the caller.
OBJECTIVE_MARGIN_RATIO = 0.15
# An answer that can only be late is accepted if the backlog takes at most this ratio of the
# objective to send. With more, it would delay answers that can be in time.
LATE_BACKLOG_RATIO = 0.25


class TimeLeft(NamedTuple):
    """Time in seconds until objective and deadline of a request, and its whole objective."""

    objective: float
    deadline: float
    latency_objective: float


def is_limited(left: TimeLeft) -> bool:
    """Return whether the answers of a route are limited by the link."""
    total = left.deadline - (left.objective - left.latency_objective)
    return total > late.MIN_DEADLINE_RATIO * left.latency_objective


def time_after_service(size: float, backlog: float, rate: float, service: float) -> float:
    """Return the time (s) from the end of the service until the answer is sent.

    The link sends the backlog while the server works, for `service` seconds.
    """
    if rate <= 0 or size <= PART_MIN_BYTES:
        return 0.0
    return max(size / rate, transfers.transfer_time(size, backlog, rate) - service)


def wait_for_room(
    size: float, backlog: float, rate: float, service: float, left: TimeLeft
) -> float:
    """Return the time (s) until the link has room for an answer, 0 if it may begin now.

    Parameters
    ----------
    size : float
        Expected bytes of the answer.
    backlog : float
        Bytes of accepted answers that are still to be sent, including those not answered yet.
    rate : float
        Send rate of the link in bytes/s; 0 if unlimited.
    service : float
        Expected service time in seconds.
    left : TimeLeft
        Time until objective and deadline.
    """
    if rate <= 0 or size <= PART_MIN_BYTES or not is_limited(left):
        return 0.0
    margin = OBJECTIVE_MARGIN_RATIO * left.latency_objective
    drain = backlog / rate
    end = service + time_after_service(size, backlog, rate, service)
    if end <= left.objective - margin:
        return 0.0
    # A late answer, or one that is too large for its objective, may begin on a nearly idle link.
    # While a caller waits, its objective runs out as fast as the backlog, so it returns as a late
    # one.
    return max(0.0, drain - LATE_BACKLOG_RATIO * left.latency_objective)
