"""Moods: how often each thing happens to the randomised fleet."""

from __future__ import annotations

BURST = 40
CALM = {
    "deliver": 30,
    "duplicate": 3,
    "late_answer": 2,
    "lose": 1,
    "time_passes": 14,
    "send_edit": 8,
    "write_takes_effect": 8,
    "poll": 3,
    "learn_floor": 4,
    "restart": 2,
    "heal": 1,
    "crash": 0,
    "partition": 0,
    "pause": 0,
    "platform_outage": 0,
}
WEIGHTS_BY_MOOD: dict[str, dict[str, int]] = {
    "calm": {},
    "storm": {"crash": 6, "restart": 6, "learn_floor": 10},
    "partitions": {"partition": 4, "heal": 3, "lose": 4},
    "outage": {"platform_outage": 4, "crash": 3, "restart": 4, "learn_floor": 10},
    "pauses": {"pause": 6, "lose": 4, "crash": 1},
    "everything": {"crash": 2, "partition": 2, "pause": 2, "platform_outage": 2, "lose": 3},
}
