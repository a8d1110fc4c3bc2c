"""Configuration distribution for a service mesh: catalogue, gossip, routing and admission."""

from hornbeamgw.core.edit import Catalogue, Change, Delta, Edit
from hornbeamgw.core.options import Settings, parse_settings
from hornbeamgw.core.problems import Problem
from hornbeamgw.core.snapshot import Snapshot
from hornbeamgw.core.verdict import Failure, Reason, Verdict

__all__ = [
    "Catalogue",
    "Change",
    "Delta",
    "Edit",
    "Failure",
    "Problem",
    "Reason",
    "Settings",
    "Snapshot",
    "Verdict",
    "parse_settings",
]
