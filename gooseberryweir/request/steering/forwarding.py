"""Forwards requests to other hosts while this host reaches no upstream.

A request is forwarded at most once: the host that gets it sends it to an
upstream or refuses it. Account, key, rate and service are decided by the first
host; the second one checks the key again and takes no token. It listens for
forwarded requests on a port of its own, next to the one for heartbeats.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import addresses
from gooseberryweir.connection import hop_headers
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import headers as wire
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.request.steering import pending_request
from gooseberryweir.request.steering import reachability as reachability_module
from gooseberryweir.request.steering import (
    upstream_notices as upstream_notices_module,
)
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Header of a forwarded request with the service that the first host chose.
SERVICE_HEADER = "Gooseberryweir-Service"
# Header of a forwarded request's answer with the incarnation of the upstream,
# if it leaves.
LEAVING_HEADER = "Gooseberryweir-Leaving"
# Size of the headers that forwarding adds, in bytes.
ADDED_HEADER_BYTES = 1024
# Hosts that one request is offered to, one after the other.
MAX_OFFERS = 8
# Time for which a host that declined a request is not offered others.
AVOID_SECONDS = 3.0
# Time for which a host that accepted a request is preferred for requests that
# another host declined, and the fraction of those that go to such hosts.
PREFERENCE_SECONDS = 3.0
PREFERRED_OFFER_FRACTION = 0.5
# Number of declined offers in a row after which this host makes none for some
# time: probably no host reaches an upstream.
MAX_DECLINED_OFFERS = 24
PAUSE_SECONDS = 1.0
# Largest number of requests that a host forwards, and that it handles for
# others, at a time.
MAX_FORWARDED = 256
# A non-idempotent request uses a connection that was idle for at most this
# long, as with upstreams.
MAX_NON_IDEMPOTENT_IDLE_SECONDS = 1.0
# Time for which the list of hosts is used again.
HOSTS_SECONDS = 0.25
# Result codes by which a host declines a request.
_DECLINE_CODES = frozenset(
    str(int(code))
    for code in (
        codes.Code.HOST_STALE,
        codes.Code.HOST_LEAVING,
        codes.Code.HOST_STARTING,
        codes.Code.HOST_OVERLOADED,
        codes.Code.UPSTREAMS_UNREACHABLE,
    )
)
_REPLACED_HEADERS = frozenset(
    {"deadline-ms", "content-length", "expect", SERVICE_HEADER.lower()}
)


def limits(caller_limits: traffic.CallerLimits) -> traffic.CallerLimits:
    """Returns the limits of connections for forwarded requests."""
    return caller_limits._replace(
        max_header_bytes=caller_limits.max_header_bytes + ADDED_HEADER_BYTES
    )


def encode(
    request: pending_request.PendingRequest, timeout_seconds: float
) -> bytes:
    """Returns the bytes of a request that is forwarded to another host.

    Args:
        request: The request.
        timeout_seconds: Seconds left until the deadline.
    """
    message = request.message
    dropped = (
        hop_headers.HOP_BY_HOP
        | _REPLACED_HEADERS
        | hop_headers.connection_options(message.headers)
    )
    headers = [
        (name, value)
        for name, value in message.headers
        if name.lower() not in dropped
    ]
    headers.append(("Deadline-Ms", str(max(1, int(timeout_seconds * 1000)))))
    headers.append((SERVICE_HEADER, request.service))
    return http_messages.encode_request(
        message.method, message.target, headers, message.body
    )


def decode(
    message: http_messages.Message,
) -> tuple[http_messages.Message, str]:
    """Returns a forwarded request as the caller sent it, and its service."""
    service = ""
    headers = []
    for name, value in message.headers:
        if name.lower() == SERVICE_HEADER.lower():
            service = value
        else:
            headers.append((name, value))
    return message._replace(headers=tuple(headers)), service


def _decode_answer(
    request: pending_request.PendingRequest, message: http_messages.Message
) -> pipelined_server.Answer | pending_request.AttemptFailure | None:
    """Returns the answer of another host, or None if it declined.

    Args:
        request: The request.
        message: The answer.
    """
    headers = wire.decode_response(message.status, message.headers).forwarded
    # Only a refusal has a code: hosts remove this header from the answers of
    # upstreams.
    code = dict(message.headers).get(codes.CODE_HEADER)
    if code in _DECLINE_CODES:
        return None
    if code is None and pending_request.claims_not_run(request, message.status):
        # A host of an earlier build relays the status of an upstream that ran
        # the request.
        return pending_request.unproven_refusal(message.status)
    if code is not None:
        headers += ((codes.CODE_HEADER, code),)
    return pipelined_server.relayed_answer(
        request.message.method, message, headers
    )


class ForwardingDependencies(NamedTuple):
    """Objects of the process that forwarding uses.

    Attributes:
        clock: Source of time.
        region: Region of this host.
        reachability: Tells whether this host reaches any upstream.
        ready_hosts: Returns the other hosts that are ready to serve callers.
        pool: Connections to other hosts.
        rng: Selects hosts.
        notices: Upstreams that leave or want no requests for some time.
    """

    clock: clocks.Clock
    region: str
    reachability: reachability_module.UpstreamReachability
    ready_hosts: Callable[[], Iterable[traffic.HostEntry]]
    pool: upstream_pool.UpstreamPool
    rng: random.Random
    notices: upstream_notices_module.UpstreamNotices


class Forwarder:
    """Forwards requests to hosts that reach upstreams.

    Attributes:
        dependencies: Objects of the process that forwarding uses.
        avoided_until: Monotonic time, in seconds, until which each host gets no
            request, since it declined an earlier one.
        preferred_until: Monotonic time, in seconds, until which each host is
            preferred, since it accepted an earlier one.
        declined_offers: Number of offers since a host accepted one.
        paused_until: Monotonic time, in seconds, until which none are made.
        hosts: Ready hosts, as of `hosts_at`.
        hosts_at: Monotonic time, in seconds, at which they were listed.
        forwarded_count: Number of requests that are being forwarded.
    """

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        self.dependencies = dependencies
        self.avoided_until: dict[str, float] = {}
        self.preferred_until: dict[str, float] = {}
        self.declined_offers = 0
        self.paused_until = float("-inf")
        self.hosts: list[traffic.HostEntry] = []
        self.hosts_at = float("-inf")
        self.forwarded_count = 0

    def is_due(self, request: pending_request.PendingRequest) -> bool:
        """Returns True if a request is to be forwarded and may be."""
        return (
            not self.dependencies.reachability.reachable
            and not request.is_forwarded
            and self.forwarded_count < MAX_FORWARDED
            and self.dependencies.clock.monotonic() >= self.paused_until
            and bool(self._candidates(request, frozenset()))
        )

    def forward(
        self, request: pending_request.PendingRequest
    ) -> pipelined_server.Answer | pending_request.AttemptFailure | None:
        """Offers a request to other hosts until one accepts it.

        Returns:
            The answer; the failure if the request may have run; None if no host
            accepted it.
        """
        self.forwarded_count += 1
        try:
            offered: set[str] = set()
            for _ in range(MAX_OFFERS):
                candidates = self._candidates(request, offered)
                remaining = (
                    request.deadline - self.dependencies.clock.monotonic()
                )
                if not candidates or remaining <= 0:
                    break
                host = self._select(candidates, is_first=not offered)
                offered.add(host.name)
                outcome = self._offer(request, host, remaining)
                if outcome is not None:
                    return outcome
            return None
        finally:
            self.forwarded_count -= 1

    def _candidates(
        self,
        request: pending_request.PendingRequest,
        offered: Iterable[str],
    ) -> list[traffic.HostEntry]:
        """Returns the hosts that may get a request."""
        now = self.dependencies.clock.monotonic()
        if now - self.hosts_at > HOSTS_SECONDS:
            self.hosts = list(self.dependencies.ready_hosts())
            self.hosts_at = now
        regions = request.admitted.regions
        return [
            each
            for each in self.hosts
            if (not regions or each.region in regions)
            and each.name not in offered
            and self.avoided_until.get(each.name, 0.0) <= now
        ]

    def _select(
        self, candidates: list[traffic.HostEntry], is_first: bool
    ) -> traffic.HostEntry:
        """Returns the host to offer a request to.

        The first offer goes to any host of this region, if there is one, so
        that they share the work. If that host declines, others nearby may do
        so too, so half of the further offers go to hosts that accepted an
        earlier request.

        Args:
            candidates: At least one host.
            is_first: True if the request was offered to no host yet.
        """
        rng, now = self.dependencies.rng, self.dependencies.clock.monotonic()
        if is_first:
            preferred = [
                each
                for each in candidates
                if each.region == self.dependencies.region
            ]
        elif rng.random() < PREFERRED_OFFER_FRACTION:
            preferred = [
                each
                for each in candidates
                if self.preferred_until.get(each.name, 0.0) > now
            ]
        else:
            preferred = candidates
        return rng.choice(preferred or candidates)

    def _record_offer(self, host: str, accepted: bool) -> None:
        """Records whether a host accepted a request."""
        now = self.dependencies.clock.monotonic()
        if accepted:
            self.declined_offers = 0
            self.preferred_until[host] = now + PREFERENCE_SECONDS
            return
        self.avoided_until[host] = now + AVOID_SECONDS
        self.preferred_until.pop(host, None)
        self.declined_offers += 1
        if self.declined_offers >= MAX_DECLINED_OFFERS:
            self.declined_offers = 0
            self.paused_until = now + PAUSE_SECONDS

    def _offer(
        self,
        request: pending_request.PendingRequest,
        host: traffic.HostEntry,
        remaining: float,
    ) -> pipelined_server.Answer | pending_request.AttemptFailure | None:
        """Sends a request to a host.

        Returns:
            The answer; the failure if the request may have run; None if the
            host declined it.
        """
        outcome: pipelined_server.Answer | pending_request.AttemptFailure | None
        outcome, result, accepted = None, "declined", False
        try:
            reply = self._exchange(request, host, remaining)
            outcome = _decode_answer(request, reply.message)
            if outcome is not None:
                result, accepted = str(reply.message.status), True
            leaving = dict(reply.message.headers).get(LEAVING_HEADER)
            if leaving is not None:
                self.dependencies.notices.record_leaving(leaving, host.name)
        except (upstream_pool.ConnectError, addresses.AddressError):
            result = "no connection"
        except upstream_pool.BrokenAnswerError as error:
            result = f"broken answer: {error}"
            outcome = pending_request.AttemptFailure(
                codes.Code.OUTCOME_UNKNOWN,
                codes.ExecutionState.UNKNOWN,
                f"host {host.name}: {result}",
            )
        except upstream_pool.DeadlineError:
            result = "timeout"
            outcome = pending_request.AttemptFailure(
                codes.Code.UPSTREAM_TIMEOUT,
                codes.ExecutionState.UNKNOWN,
                f"host {host.name}: {result}",
            )
        self._record_offer(host.name, accepted)
        logs.event(
            LOGGER,
            "request-forwarded",
            request=request.caller_headers.request_id,
            route=request.admitted.route.name,
            target=host.name,
            result=result,
            seconds=self.dependencies.clock.monotonic() - request.started_at,
        )
        return outcome

    def _exchange(
        self,
        request: pending_request.PendingRequest,
        host: traffic.HostEntry,
        remaining: float,
    ) -> upstream_pool.Reply:
        return self.dependencies.pool.exchange(
            upstream_pool.Endpoint(
                host.name,
                host_settings.forward_address(host.peer),
                upstream_pool.DEFAULT_IDLE_SECONDS
                if request.admitted.route.idempotent
                else MAX_NON_IDEMPOTENT_IDLE_SECONDS,
            ),
            encode(request, remaining),
            remaining,
            lambda _headers: True,
            lambda _headers: None,
        )
