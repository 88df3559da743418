"""Demand of client accounts here, at token clients of this host, elsewhere."""

from collections.abc import Callable

from gooseberryweir.process.fleet import fleet_demand
from gooseberryweir.process.fleet import fleet_view
from gooseberryweir.request.steering import limits


class AccountDemand:
    """Demand of client accounts, from which shares of their rates follow.

    The token clients of a host are the hosts that take tokens from it (see
    `process.fleet.tokens`).

    Attributes:
        meter: Requests per second at this host.
        view: What this host knows of the other hosts.
        takes_own_tokens: Returns True if this host is its own token client.
        own_rates: Announced rates at this host, delayed.
        pooled_rates: Rates at all token clients of this host, delayed.
    """

    def __init__(
        self,
        meter: limits.RateMeter,
        view: fleet_view.FleetView,
        takes_own_tokens: Callable[[], bool],
        now: Callable[[], float],
    ) -> None:
        self.meter = meter
        self.view = view
        self.takes_own_tokens = takes_own_tokens
        self.own_rates = limits.DelayedRates(now)
        self.pooled_rates = limits.DelayedRates(now)

    def refresh(self) -> None:
        """Updates the announced and delayed rates; call it per heartbeat."""
        self.meter.announce()
        self.own_rates.record(self.meter.announced)
        pooled = dict(self.meter.announced) if self.takes_own_tokens() else {}
        for client in fleet_demand.token_clients(self.view):
            for account, rate in client.demand.items():
                pooled[account] = pooled.get(account, 0.0) + rate
        self.pooled_rates.record(pooled)

    def local(
        self, account: str
    ) -> tuple[fleet_demand.Demand, fleet_demand.Demand]:
        """Returns an account's demand at this host and at all other hosts."""
        own = fleet_demand.Demand(self.own_rates.rate(account), 1)
        announced = self.meter.announced.get(account, 0.0)
        return own, fleet_demand.Demand(
            *fleet_demand.elsewhere(self.view, account, announced)
        )

    def pooled(
        self, account: str
    ) -> tuple[fleet_demand.Demand, fleet_demand.Demand]:
        """Returns an account's demand at the token clients and elsewhere."""
        own, others = self.local(account)
        clients = fleet_demand.token_clients(self.view)
        current = sum(each.demand.get(account, 0.0) for each in clients)
        count = len(clients)
        # What this host knows of all hosts, without its token clients.
        elsewhere = others.rate - current
        if self.takes_own_tokens():
            count += 1
        else:
            elsewhere += own.rate
        return (
            fleet_demand.Demand(self.pooled_rates.rate(account), count),
            fleet_demand.Demand(
                max(0.0, elsewhere), max(0, 1 + others.hosts - count)
            ),
        )
