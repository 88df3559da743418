"""Tokens for requests to upstreams that limit their request rate.

An upstream advertises the requests per second that it accepts from all hosts
together. Split among all hosts, such a rate is often far below one request per
second for each. So one host holds the tokens of an upstream and all others take
them from it, one for each request: the relay of the upstream's region. A host
asks the relay of its own region, which asks that relay if it is another one.

Each call carries the latest limit that its sender knows, so a host that starts
to hold tokens, such as after the death of the previous holder, needs no other
source. Hosts also tell each other, by way of the relays, when an upstream
advertises another limit.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math
from typing import NamedTuple

import eventlet
import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir import logs
from gooseberryweir.process.fleet import peer_calls
from gooseberryweir.process.fleet import upstream_limits

LOGGER = logging.getLogger(__name__)

# Kinds of calls between hosts (see `peer_calls`).
TOKEN_CALL = "upstream-token"
LIMIT_NOTICE = "upstream-limits"
# Timeouts of a call to the relay of this region, and from there to another one.
REGION_CALL_SECONDS = 0.3
RELAY_CALL_SECONDS = 0.2
# Time for which a host does not ask again if nobody answered it.
NO_ANSWER_SECONDS = 0.3
# Longest time for which a host does not ask again after it got no token: the
# upstream may raise its limit meanwhile.
MAX_WAIT_SECONDS = 1.0
# Least rate at which tokens are granted, in requests per second. An upstream
# that accepts nothing can't say that this has changed unless it is asked.
MIN_RATE = 0.25
# Tokens that accumulate while nobody takes them, as seconds of the rate; at
# least one.
CAPACITY_SECONDS = 0.25
# A new bucket has the tokens of this time, at most one: nobody knows what the
# previous holder granted last.
INITIAL_FILL_SECONDS = 0.5
# Tokens granted by one call, as seconds of a host's mean share of the rate; at
# least one.
BATCH_SECONDS = 0.25
# Time within which a host uses tokens granted in advance.
TOKEN_LIFETIME_SECONDS = 0.5
# Time in which changed limits are collected before they are sent to others.
SPREAD_SECONDS = 0.1


class _TokenRequest(NamedTuple):
    """A call for tokens of one upstream.

    Attributes:
        upstream: Incarnation of the upstream.
        region: Region of the upstream.
        rate: Latest limit that the caller knows, in requests per second.
        age: Seconds since the caller's knowledge of it was observed.
        final: True if the called host grants the tokens itself.
    """

    upstream: str
    region: str
    rate: float
    age: float
    final: bool


class _TokenReply(NamedTuple):
    """Reply to a call for tokens.

    Attributes:
        granted: Number of tokens granted, 0 if none is available.
        wait_seconds: Seconds until one is available if none was granted.
        rate: Latest limit that the granting host knows.
        age: Seconds since it was observed.
    """

    granted: int
    wait_seconds: float
    rate: float
    age: float


class _LimitReport(NamedTuple):
    """A limit that a host knows.

    Attributes:
        upstream: Incarnation of the upstream.
        rate: Requests per second, infinity if it has no limit any more.
        age: Seconds since it was observed.
    """

    upstream: str
    rate: float
    age: float


class Neighbours(NamedTuple):
    """Functions that tell with which hosts tokens and limits are exchanged.

    Attributes:
        host: Name of this host.
        region: Region of this host.
        token_source: Returns the name of the relay from which this host takes
            tokens, which may be this host, or None.
        relay_of: Returns the name of a linked relay of another region, or None.
        linked: Returns the names of the hosts to which this host has links.
        regions: Returns the number of regions with hosts.
        fleet_size: Returns the number of hosts that may be serving.
    """

    host: str
    region: str
    token_source: Callable[[], str | None]
    relay_of: Callable[[str], str | None]
    linked: Callable[[], Iterable[str]]
    regions: Callable[[], int]
    fleet_size: Callable[[], int]


class _Bucket(NamedTuple):
    """Tokens of one upstream at their holder.

    Attributes:
        tokens: Number of tokens at the last update.
        updated_at: Monotonic time of the last update, in seconds.
    """

    tokens: float
    updated_at: float


class _HeldTokens(NamedTuple):
    """Tokens that were granted to this host in advance.

    Attributes:
        left: Number of tokens.
        expires_at: Monotonic time, in seconds, from which they are void.
    """

    left: int
    expires_at: float


class UpstreamTokens:
    """Takes tokens for this host's requests, and grants them to other hosts.

    Attributes:
        limits: Limits that upstreams advertise.
        calls: Calls between hosts.
        neighbours: Hosts with which tokens and limits are exchanged.
        clock: Source of time.
        buckets: Tokens that this host grants, by incarnation of the upstream.
        held: Tokens granted to this host in advance, likewise.
        refused_until: Monotonic time, in seconds, until which this host does
            not ask for a token again, likewise.
        changed: Incarnations whose limit is to be sent to other hosts.
    """

    def __init__(
        self,
        limits: upstream_limits.UpstreamLimits,
        calls: peer_calls.PeerCalls,
        neighbours: Neighbours,
        clock: clocks.Clock,
    ) -> None:
        self.limits = limits
        self.calls = calls
        self.neighbours = neighbours
        self.clock = clock
        self.buckets: dict[str, _Bucket] = {}
        self.held: dict[str, _HeldTokens] = {}
        self.refused_until: dict[str, float] = {}
        self.changed: set[str] = set()
        calls.handlers[TOKEN_CALL] = self._handle_token_call
        calls.handlers[LIMIT_NOTICE] = self._handle_limit_notice
        limits.listeners.append(self._on_limit_change)

    # Requests of this host.

    def may_ask(self, incarnation: str) -> bool:
        """Returns False while this host knows that it would get no token.

        Args:
            incarnation: Incarnation of the upstream.
        """
        refused_until = self.refused_until.get(incarnation)
        if refused_until is None:
            return True
        if (
            self.clock.monotonic() < refused_until
            and self.limits.rate(incarnation) < math.inf
        ):
            return False
        del self.refused_until[incarnation]
        return True

    def take(self, incarnation: str, region: str) -> bool:
        """Takes a token for a request, unless the upstream has no limit.

        Args:
            incarnation: Incarnation of the upstream.
            region: Region of the upstream.

        Returns:
            True if the request may be sent.
        """
        if self.limits.rate(incarnation) == math.inf:
            return True
        if self._take_held(incarnation):
            return True
        reply = self._request(self._token_request(incarnation, region))
        now = self.clock.monotonic()
        if reply is None:
            self.refused_until[incarnation] = now + NO_ANSWER_SECONDS
            logs.event(
                LOGGER, "upstream-token-unanswered", upstream=incarnation
            )
            return False
        self.limits.record_report(incarnation, reply.rate, reply.age)
        if self.limits.rate(incarnation) == math.inf:
            return True
        if reply.granted:
            if reply.granted > 1:
                self.held[incarnation] = _HeldTokens(
                    reply.granted - 1, now + TOKEN_LIFETIME_SECONDS
                )
            return True
        self.refused_until[incarnation] = now + min(
            MAX_WAIT_SECONDS, reply.wait_seconds
        )
        return False

    def _take_held(self, incarnation: str) -> bool:
        """Uses a token that was granted in advance, if there is one."""
        held = self.held.pop(incarnation, None)
        if held is None or held.expires_at <= self.clock.monotonic():
            return False
        if held.left > 1:
            self.held[incarnation] = held._replace(left=held.left - 1)
        return True

    def _token_request(self, incarnation: str, region: str) -> _TokenRequest:
        report = self._report(incarnation)
        return _TokenRequest(
            incarnation, region, report.rate, report.age, final=False
        )

    def _request(self, request: _TokenRequest) -> _TokenReply | None:
        """Requests tokens from the relay that this host uses."""
        source = self.neighbours.token_source()
        if source is None:
            return None
        if source == self.neighbours.host:
            return self._grant_or_forward(request)
        return self._call(source, request, REGION_CALL_SECONDS)

    def _call(
        self, host: str, request: _TokenRequest, timeout: float
    ) -> _TokenReply | None:
        encoded = self.calls.call(
            host, TOKEN_CALL, msgspec.msgpack.encode(request), timeout
        )
        if encoded is None:
            return None
        try:
            reply: _TokenReply = peer_calls.decode(encoded, _TokenReply)
        except ValueError as error:
            logs.event(
                LOGGER,
                "peer-call-failed",
                logging.WARNING,
                peer=host,
                kind=TOKEN_CALL,
                reason=error,
            )
            return None
        return reply

    # Tokens for other hosts.

    def _handle_token_call(self, _sender: str, content: bytes) -> bytes:
        """Handles a call for tokens of another host."""
        request: _TokenRequest = peer_calls.decode(content, _TokenRequest)
        self.limits.record_report(request.upstream, request.rate, request.age)
        reply = self._grant_or_forward(request)
        if reply is None:
            report = self._report(request.upstream)
            reply = _TokenReply(0, NO_ANSWER_SECONDS, report.rate, report.age)
        return msgspec.msgpack.encode(reply)

    def _grant_or_forward(self, request: _TokenRequest) -> _TokenReply | None:
        """Grants tokens, or requests them from the relay of another region.

        If the upstream's region has no relay that this host reaches, relays of
        other regions may be in the same situation, so each grants a part.
        """
        if request.final or request.region == self.neighbours.region:
            return self._grant(request.upstream, 1.0)
        relay = self.neighbours.relay_of(request.region)
        if relay is None:
            return self._grant(
                request.upstream, 1 / max(1, self.neighbours.regions())
            )
        reply = self._call(
            relay, request._replace(final=True), RELAY_CALL_SECONDS
        )
        if reply is not None:
            self.limits.record_report(request.upstream, reply.rate, reply.age)
        return reply

    def _grant(self, incarnation: str, fraction: float) -> _TokenReply:
        """Grants tokens if some are available.

        Args:
            incarnation: Incarnation of the upstream.
            fraction: Part of the rate that this host grants.
        """
        report = self._report(incarnation)
        if report.rate == math.inf:
            return _TokenReply(1, 0.0, report.rate, report.age)
        now = self.clock.monotonic()
        rate = fraction * max(MIN_RATE, report.rate)
        capacity = max(1.0, rate * CAPACITY_SECONDS)
        bucket = self.buckets.get(incarnation)
        if bucket is None:
            bucket = _Bucket(min(1.0, rate * INITIAL_FILL_SECONDS), now)
        tokens = min(capacity, bucket.tokens + (now - bucket.updated_at) * rate)
        batch = max(1, int(rate * BATCH_SECONDS / self.neighbours.fleet_size()))
        granted = min(int(tokens), batch)
        self.buckets[incarnation] = _Bucket(tokens - granted, now)
        wait_seconds = 0.0 if granted else (1.0 - tokens) / rate
        return _TokenReply(granted, wait_seconds, report.rate, report.age)

    # Limits.

    def _report(self, incarnation: str) -> _LimitReport:
        """Returns what this host knows of an upstream's limit."""
        known = self.limits.limits.get(incarnation)
        if known is None:
            return _LimitReport(incarnation, math.inf, math.inf)
        return _LimitReport(
            incarnation,
            known.rate,
            max(0.0, self.clock.monotonic() - known.observed_at),
        )

    def _on_limit_change(self, incarnation: str) -> None:
        """Sends a changed limit to other hosts soon."""
        if not self.changed:
            eventlet.spawn_after(SPREAD_SECONDS, self._spread)
        self.changed.add(incarnation)

    def _spread(self) -> None:
        """Sends changed limits to the linked hosts.

        A host that is no relay has links only to relays, which pass them on.
        """
        # The next change starts this again, also after an exception here.
        changed, self.changed = self.changed, set()
        reports = [
            self._report(each)
            for each in sorted(changed)
            if each in self.limits.limits
        ]
        content = msgspec.msgpack.encode(reports)
        for name in self.neighbours.linked():
            self.calls.notify(name, LIMIT_NOTICE, content)

    def _handle_limit_notice(self, _sender: str, content: bytes) -> bytes:
        """Records limits that another host sent."""
        reports: list[_LimitReport] = peer_calls.decode(
            content, list[_LimitReport]
        )
        for each in reports:
            self.limits.record_report(each.upstream, each.rate, each.age)
        return b""

    def retain(self, incarnations: set[str]) -> None:
        """Removes the tokens of all other upstreams, which no longer exist."""
        self.limits.retain(incarnations)
        for by_incarnation in (self.buckets, self.held, self.refused_until):
            for name in set(by_incarnation) - incarnations:
                del by_incarnation[name]
