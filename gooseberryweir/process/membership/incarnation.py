"""The incarnation of this host's process, and its renewal.

The facts (key-value entries that all hosts replicate and merge) state the
newest incarnation of each host.
"""

import logging

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.process.membership import facts as facts_module

LOGGER = logging.getLogger(__name__)


class Incarnation:
    """The incarnation of this process: a number that grows with each start.

    Attributes:
        host: Name of this host.
        value: The incarnation, in milliseconds since the epoch.
        clock: Source of time.
        facts: Facts shared between the hosts.
        facts_fetched: True once all facts of a peer were merged since the
            start.
        leaving: True once this process has begun to shut down.
        superseded: True once a later process runs under this host's name.
    """

    def __init__(
        self,
        host: str,
        value: int,
        clock: clocks.Clock,
        facts: facts_module.Facts,
    ) -> None:
        self.host = host
        self.value = value
        self.clock = clock
        self.facts = facts
        self.facts_fetched = False
        self.leaving = False
        self.superseded = False
        if not self._renew_if_used():
            self._publish()

    def leave(self) -> None:
        """Publishes that this incarnation is shutting down."""
        self.leaving = True
        self.facts.add(facts_module.leaving_key(self.host), self.value)

    def is_dead(self) -> bool:
        """Returns True if a majority declared this incarnation dead."""
        return self.facts.get(facts_module.dead_key(self.host)) >= self.value

    def check_facts(self) -> None:
        """Compares the incarnation with the facts after they changed.

        A newer incarnation of this host belongs to a later process if facts
        were fetched from a peer since the start; otherwise it was used by an
        earlier process.
        """
        newest = self.facts.get(facts_module.incarnation_key(self.host))
        if newest > self.value and self.facts_fetched:
            self._mark_superseded(newest)
        else:
            self._renew_if_used()

    def _renew_if_used(self) -> bool:
        """Renews the incarnation if an earlier process may have used it.

        Returns:
            True if it was renewed.
        """
        newest = self.facts.get(facts_module.incarnation_key(self.host))
        last_left = self.facts.get(facts_module.leaving_key(self.host))
        used = newest > self.value or (
            last_left >= self.value and not self.leaving
        )
        if used:
            self.renew()
        return used

    def renew(self) -> None:
        """Sets and publishes an incarnation later than all known ones."""
        newest = max(
            self.value,
            self.facts.get(facts_module.incarnation_key(self.host)),
            self.facts.get(facts_module.leaving_key(self.host)),
            self.facts.get(facts_module.dead_key(self.host)),
        )
        self.value = max(int(self.clock.wall() * 1000), newest + 1)
        logs.event(LOGGER, "incarnation-renewed", incarnation=self.value)
        self._publish()
        if self.leaving:
            self.leave()

    def _publish(self) -> None:
        """Adds this incarnation to the facts."""
        self.facts.add(facts_module.incarnation_key(self.host), self.value)

    def _mark_superseded(self, newest: int) -> None:
        """Marks this process as superseded by a later one of the same name."""
        if not self.superseded:
            self.superseded = True
            logs.event(
                LOGGER,
                "host-superseded",
                logging.ERROR,
                incarnation=self.value,
                newest=newest,
            )
