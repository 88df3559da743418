"""Log lines for changes that only the passing of time shows."""

from collections.abc import Iterable
import logging

from gooseberryweir import logs
from gooseberryweir.process.membership import freshness as freshness_module
from gooseberryweir.process.membership import view as view_module

LOGGER = logging.getLogger(__name__)


class Transitions:
    """What the last check found, to log what differs.

    Attributes:
        silent: Hosts that were silent.
        stood: Whether this host stood.
        fresh: Whether it was fresh.
    """

    def __init__(self) -> None:
        self.silent: frozenset[str] = frozenset()
        self.stood = False
        self.fresh = False

    def note_silent(self, names: Iterable[str]) -> None:
        """Logs the hosts that fell silent since the last check."""
        silent = frozenset(names)
        for name in sorted(silent - self.silent):
            logs.event(LOGGER, "host-silent", logging.WARNING, subject=name)
        self.silent = silent

    def note_standing(self, stands: bool, view: view_module.View) -> None:
        """Logs that standing was gained or lost."""
        if stands != self.stood:
            self.stood = stands
            name = "standing-gained" if stands else "standing-lost"
            logs.event(LOGGER, name, digest=f"{view.digest:016x}")

    def note_freshness(self, found: freshness_module.Freshness) -> None:
        """Logs that freshness was gained or lost."""
        if found.fresh != self.fresh:
            self.fresh = found.fresh
            logs.event(
                LOGGER,
                "freshness-changed",
                fresh=found.fresh,
                source=found.source,
                age=found.age,
            )
