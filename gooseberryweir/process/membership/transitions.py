"""Logs silent hosts, and changes of the majority and freshness of this host.

These result from elapsed time, not from a message, so they are found by
comparing the state at one call of `Membership.tick` with that at the next.
"""

from collections.abc import Iterable
import logging

from gooseberryweir import logs
from gooseberryweir.process.membership import freshness as freshness_module
from gooseberryweir.process.membership import view as view_module

LOGGER = logging.getLogger(__name__)


class Transitions:
    """Logs how the state of this host differs from that at the last check.

    Attributes:
        silent_hosts: Hosts that were suspected at the last check, as not heard
            from for `SILENCE_SECONDS`.
        had_majority: True if a majority of the voters had the view of this
            host at the last check.
        was_fresh: True if this host was fresh at the last check.
    """

    def __init__(self) -> None:
        self.silent_hosts: frozenset[str] = frozenset()
        self.had_majority = False
        self.was_fresh = False

    def update_silent_hosts(self, names: Iterable[str]) -> None:
        """Logs the hosts that became silent since the last check."""
        silent = frozenset(names)
        for name in sorted(silent - self.silent_hosts):
            logs.event(LOGGER, "host-silent", logging.WARNING, subject=name)
        self.silent_hosts = silent

    def update_majority(
        self, has_majority: bool, view: view_module.View
    ) -> None:
        """Logs if this host gained or lost the majority for its view."""
        if has_majority != self.had_majority:
            self.had_majority = has_majority
            name = "standing-gained" if has_majority else "standing-lost"
            logs.event(LOGGER, name, digest=f"{view.digest:016x}")

    def update_freshness(self, freshness: freshness_module.Freshness) -> None:
        """Logs if this host became fresh or stopped being fresh."""
        if freshness.fresh != self.was_fresh:
            self.was_fresh = freshness.fresh
            logs.event(
                LOGGER,
                "freshness-changed",
                fresh=freshness.fresh,
                source=freshness.source,
                age=freshness.age,
            )
