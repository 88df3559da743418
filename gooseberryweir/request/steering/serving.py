"""Serves a caller's request: admission, upstream selection, retries, answer."""

from collections.abc import Callable
import logging
import math
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import delivery
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.platform import headers as wire
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request import fingerprints
from gooseberryweir.request.steering import admission
from gooseberryweir.request.steering import forwarding
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import pending_request
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import reachability as reachability_module
from gooseberryweir.request.steering import running_requests
from gooseberryweir.request.steering import selection as selection_module
from gooseberryweir.request.steering import sending as sending_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import telemetry as telemetry_module

LOGGER = logging.getLogger(__name__)

# Timeout of requests whose caller sends none.
DEFAULT_CALLER_TIMEOUT_SECONDS = 30.0
# No attempt starts if less time than this remains until the deadline.
MIN_ATTEMPT_SECONDS = 0.02
# Mean Retry-After if no upstream that was tried ran the request: about one
# processing time.
SHED_RETRY_SECONDS = 0.3
# Retry-After if no upstream can take the request.
UNAVAILABLE_RETRY_SECONDS = 0.5
# While all upstreams ask for a pause, callers are told to retry within this
# time after the first pause ends, so that they do not return all at once. It is
# multiplied by 1 + importance, so that the most important work returns first.
PAUSE_RETRY_SPREAD_SECONDS = 0.2
# An answer that was ready for longer than this before all of it was sent is
# logged: the platform accepts half a second past a route's timeout.
MAX_SENDING_DELAY_SECONDS = 0.1


class ServingDependencies(NamedTuple):
    """Objects of the process that serving uses.

    Attributes:
        clock: Source of time.
        store_cache: Cache of the platform's store.
        admission: Checks that requests may run.
        selection: Selects upstreams.
        sender: Sends requests to upstreams.
        retry_budget: Limit on retries.
        telemetry: Counters and histograms.
        refusing: Returns True while new requests are refused since this host
            shuts down.
        rng: Source of random numbers.
        suspects: Requests that may have crashed upstreams.
        forwarder: Forwards requests to other hosts.
        reachability: Tells whether this host reaches any upstream.
        seconds_until_exit: Returns the seconds until the process exits;
            infinity unless it shuts down.
    """

    clock: clocks.Clock
    store_cache: store_cache_module.StoreCache
    admission: admission.Admission
    selection: selection_module.Selection
    sender: sending_module.UpstreamSender
    retry_budget: limits.RetryBudget
    telemetry: telemetry_module.Telemetry
    refusing: Callable[[], bool]
    rng: random.Random
    suspects: suspects_module.SuspectTracker
    forwarder: forwarding.Forwarder
    reachability: reachability_module.UpstreamReachability
    seconds_until_exit: Callable[[], float] = lambda: math.inf


class _Attempts(NamedTuple):
    """Attempts to run a request that brought no answer.

    Attributes:
        failure: Failure of the last attempt; None if none was made.
        ran: YES or UNKNOWN if an upstream ran or may have run the request,
            else NO.
    """

    failure: pending_request.AttemptFailure | None
    ran: codes.ExecutionState


_NOT_ATTEMPTED = _Attempts(None, codes.ExecutionState.NO)


class RequestHandler:
    """Serves the requests that callers send to this host.

    Attributes:
        dependencies: Objects of the process that serving uses.
        round_robin: Distribution of each route's requests over its services.
        forwarded_count: Number of requests of other hosts being handled.
        running: Requests that are being run.
    """

    def __init__(self, dependencies: ServingDependencies) -> None:
        self.dependencies = dependencies
        self.running = running_requests.RunningRequests()
        self.round_robin = placement.WeightedRoundRobin()
        self.forwarded_count = 0

    def serve(self, message: http_messages.Message) -> pipelined_server.Answer:
        """Returns the answer to a caller's request."""
        return self._serve(message)

    def serve_forwarded(
        self, message: http_messages.Message
    ) -> pipelined_server.Answer:
        """Returns the answer to a request that another host forwarded."""
        dependencies = self.dependencies
        if not dependencies.reachability.reachable:
            code = codes.Code.UPSTREAMS_UNREACHABLE
        elif self.forwarded_count >= forwarding.MAX_FORWARDED:
            code = codes.Code.HOST_OVERLOADED
        else:
            self.forwarded_count += 1
            try:
                return self._serve(*forwarding.decode(message))
            finally:
                self.forwarded_count -= 1
        return self._refuse(
            wire.decode_request(message.headers),
            "",
            codes.refuse(code),
            dependencies.clock.monotonic(),
        )

    def _serve(
        self, message: http_messages.Message, service: str | None = None
    ) -> pipelined_server.Answer:
        """Returns the answer to a request.

        Args:
            message: The request.
            service: Service that another host chose before it forwarded the
                request; None if a caller sent it to this host.
        """
        dependencies = self.dependencies
        started_at = dependencies.clock.monotonic()
        caller_headers = wire.decode_request(message.headers)
        if dependencies.refusing():
            refusal = codes.refuse(codes.Code.HOST_LEAVING, retry_after=0.0)
            return self._refuse(caller_headers, "", refusal, started_at)
        path = message.target.partition("?")[0]
        admitted = dependencies.admission.admit(
            caller_headers.host,
            path,
            caller_headers.key,
            is_forwarded=service is not None,
        )
        if isinstance(admitted, codes.Refusal):
            return self._refuse(caller_headers, "", admitted, started_at)
        caller_timeout = (
            caller_headers.timeout_seconds or DEFAULT_CALLER_TIMEOUT_SECONDS
        )
        timeout = min(caller_timeout, admitted.route.timeout)
        if (
            not admitted.route.idempotent
            and timeout > dependencies.seconds_until_exit()
        ):
            # It could be cut off, and its caller could not send it again.
            refusal = codes.refuse(codes.Code.HOST_LEAVING, retry_after=0.0)
            return self._refuse(
                caller_headers, admitted.route.name, refusal, started_at
            )
        deadline = started_at + timeout
        is_forwarded = service is not None
        if service not in {each.service for each in admitted.route.targets}:
            service = self.round_robin.next(admitted.route)
        uses_affinity = admitted.route.affinity and caller_headers.affinity_key
        request = pending_request.PendingRequest(
            message,
            caller_headers,
            admitted,
            service,
            started_at,
            deadline,
            f"{service}\0{caller_headers.affinity_key}"
            if uses_affinity
            else "",
            fingerprints.fingerprint(
                admitted.account.name if admitted.account else "",
                message.method,
                message.target,
                message.body,
            ),
            is_forwarded,
        )
        try:
            with self.running.track():
                return self._run(request)
        except running_requests.GivenUpError:
            refusal = codes.refuse(
                codes.Code.OUTCOME_UNKNOWN,
                detail="the host exits",
                ran=codes.ExecutionState.UNKNOWN,
            )
            return self._refuse(
                caller_headers, admitted.route.name, refusal, started_at
            )

    def record_sent(
        self,
        message: http_messages.Message,
        timing: pipelined_server.AnswerTiming,
    ) -> None:
        """Logs an answer that was ready long before all of it was sent."""
        if timing.waiting + timing.sending <= MAX_SENDING_DELAY_SECONDS:
            return
        self.dependencies.telemetry.count("answer_delayed")
        logs.event(
            LOGGER,
            "answer-delayed",
            request=wire.decode_request(message.headers).request_id,
            seconds=timing.handling,
            waited=timing.waiting,
            sending=timing.sending,
        )

    def record_undelivered(self, undelivered: delivery.Undelivered) -> None:
        """Logs and counts what a caller had not received at the close."""
        self.dependencies.telemetry.record_undelivered(
            undelivered.reason, undelivered.size
        )
        request = undelivered.request
        delivery.log_undelivered(
            undelivered,
            wire.decode_request(request.headers).request_id if request else "",
        )

    def _run(
        self, request: pending_request.PendingRequest
    ) -> pipelined_server.Answer:
        """Runs a request at an upstream, or forwards it to another host.

        It is forwarded while this host reaches no upstream.
        """
        forwarder = self.dependencies.forwarder
        outcome = _NOT_ATTEMPTED
        if not forwarder.is_due(request):
            self.dependencies.retry_budget.record_request(request.service)
            attempted = self._attempt_upstreams(request)
            if isinstance(attempted, pipelined_server.Answer):
                return attempted
            outcome = attempted
        if outcome.ran is codes.ExecutionState.NO and forwarder.is_due(request):
            forwarded = forwarder.forward(request)
            if isinstance(forwarded, pipelined_server.Answer):
                return forwarded
            if forwarded is not None:
                outcome = _Attempts(forwarded, forwarded.ran)
        return self._finish_failed(request, outcome.failure, outcome.ran)

    def _attempt_upstreams(
        self, request: pending_request.PendingRequest
    ) -> "pipelined_server.Answer | _Attempts":
        """Sends a request to one upstream after another until one answers.

        Returns:
            The answer, also if it is a refusal; the failures if no upstream
            answered.
        """
        tried: set[str] = set()
        ran = codes.ExecutionState.NO
        failure: pending_request.AttemptFailure | None = None
        route = request.admitted.route
        for attempt in range(1, route.max_attempts + 1):
            now = self.dependencies.clock.monotonic()
            if request.deadline - now < MIN_ATTEMPT_SECONDS:
                break
            if attempt > 1 and self.dependencies.forwarder.is_due(request):
                break
            choice = self._prepare_attempt(request, tried, attempt, ran)
            if isinstance(choice, pipelined_server.Answer):
                return choice
            if choice is None:
                break
            tried.add(choice.upstream.name)
            outcome = self.dependencies.sender.attempt(request, choice, attempt)
            if isinstance(outcome, pipelined_server.Answer):
                return outcome
            failure = outcome
            if outcome.ran is codes.ExecutionState.NO:
                self.dependencies.suspects.end_unexecuted(request.fingerprint)
            else:
                ran = outcome.ran
                if not route.idempotent:
                    break
        return _Attempts(failure, ran)

    def _prepare_attempt(
        self,
        request: pending_request.PendingRequest,
        tried: set[str],
        attempt: int,
        ran: codes.ExecutionState,
    ) -> placement.Choice | pipelined_server.Answer | None:
        """Selects the upstream of an attempt and checks that it may be made.

        Args:
            request: The request.
            tried: Names of upstreams that the request was already sent to.
            attempt: Number of the attempt, from 1.
            ran: YES or UNKNOWN if an earlier attempt ran or may have run the
                request, else NO.

        Returns:
            The choice; a refusal; None if no further attempt may be made.
        """
        dependencies = self.dependencies
        if delay := dependencies.suspects.retry_delay(request.fingerprint):
            return self._refuse_suspect(request, ran, delay)
        choice = self._choose(request, tried, attempt)
        if choice is None:
            return None
        if attempt == 1:
            if dependencies.selection.is_overloaded(request, choice):
                return self._refuse_overloaded(request, choice)
        elif not dependencies.retry_budget.try_acquire(request.service):
            dependencies.telemetry.count("retry_budget_spent")
            return None
        if delay := dependencies.suspects.begin_attempt(request.fingerprint):
            return self._refuse_suspect(request, ran, delay)
        return choice

    def _choose(
        self,
        request: pending_request.PendingRequest,
        tried: set[str],
        attempt: int,
    ) -> placement.Choice | None:
        """Returns the upstream for an attempt, or None if none may get it.

        An upstream that limits its request rate is passed over if there is no
        token for it. No token is taken for a request that will be refused.
        """
        selection = self.dependencies.selection
        excluded = set(tried)
        while choice := selection.choose(request, excluded):
            if attempt == 1 and selection.is_overloaded(request, choice):
                break
            if selection.take_token(choice):
                break
            self.dependencies.telemetry.count("upstream_token_refused")
            excluded.add(choice.upstream.name)
        return choice

    def _refuse_suspect(
        self,
        request: pending_request.PendingRequest,
        ran: codes.ExecutionState,
        delay: float,
    ) -> pipelined_server.Answer:
        """Refuses a request that may have crashed upstreams.

        Args:
            request: The request.
            ran: YES or UNKNOWN if an earlier attempt ran or may have run the
                request, else NO.
            delay: Seconds until the caller may retry.
        """
        refusal = codes.refuse(
            codes.Code.SUSPECT_REQUEST, ran=ran, retry_after=delay
        )
        return self._refuse(
            request.caller_headers,
            request.admitted.route.name,
            refusal,
            request.started_at,
        )

    def _refuse_overloaded(
        self, request: pending_request.PendingRequest, choice: placement.Choice
    ) -> pipelined_server.Answer:
        """Refuses a request that would wait too long for a slot."""
        refusal = codes.refuse(
            codes.Code.NO_HEADROOM,
            f"expected wait for a slot is {choice.wait:.3f} s",
            retry_after=overload.retry_after(
                choice.wait, self.dependencies.rng.random()
            ),
        )
        return self._refuse(
            request.caller_headers,
            request.admitted.route.name,
            refusal,
            request.started_at,
        )

    def _finish_failed(
        self,
        request: pending_request.PendingRequest,
        failure: pending_request.AttemptFailure | None,
        ran: codes.ExecutionState,
    ) -> pipelined_server.Answer:
        """Returns the answer to a request that no attempt could serve.

        Args:
            request: The request.
            failure: Failure of the last attempt; None if none was made.
            ran: YES or UNKNOWN if an upstream ran or may have run the request,
                else NO.
        """
        if failure is not None and failure.answer is not None:
            return failure.answer
        if failure is None and not self.dependencies.reachability.reachable:
            refusal = codes.refuse(codes.Code.UPSTREAMS_UNREACHABLE)
        elif failure is None:
            refusal = codes.refuse(
                codes.Code.NO_HEADROOM,
                detail="no upstream can take the request now",
                retry_after=self._pause_retry_after(request)
                or UNAVAILABLE_RETRY_SECONDS,
            )
        elif ran is codes.ExecutionState.NO:
            refusal = codes.refuse(
                codes.Code.UPSTREAM_SHED,
                detail=failure.reason,
                retry_after=self._pause_retry_after(request)
                or SHED_RETRY_SECONDS * (0.5 + self.dependencies.rng.random()),
            )
        else:
            code = failure.code
            if codes.TABLE[code].ran is codes.ExecutionState.NO:
                code = codes.Code.OUTCOME_UNKNOWN
            refusal = codes.refuse(code, detail=failure.reason, ran=ran)
        return self._refuse(
            request.caller_headers,
            request.admitted.route.name,
            refusal,
            request.started_at,
        )

    def _pause_retry_after(
        self, request: pending_request.PendingRequest
    ) -> float | None:
        """Returns the Retry-After if all upstreams have asked for a pause.

        Returns:
            Seconds until the first pause ends, and a random part of
            `PAUSE_RETRY_SPREAD_SECONDS`; None if another upstream of the
            service may take requests.
        """
        seconds = self.dependencies.selection.pause_seconds(request)
        if seconds == 0.0:
            return None
        spread = PAUSE_RETRY_SPREAD_SECONDS * (1 + request.admitted.importance)
        return seconds + spread * self.dependencies.rng.random()

    def _refuse(
        self,
        caller_headers: wire.RequestHeaders,
        route: str,
        refusal: codes.Refusal,
        started_at: float,
    ) -> pipelined_server.Answer:
        """Logs and counts a refusal, and returns the error answer for it."""
        store_cache = self.dependencies.store_cache
        logs.event(
            LOGGER,
            "request-refused",
            request=caller_headers.request_id,
            route=route,
            code=int(refusal.code),
            ran=refusal.ran.value,
            detail=refusal.detail,
            retry_after=refusal.retry_after or 0.0,
            seconds=self.dependencies.clock.monotonic() - started_at,
            configuration=store_cache.version(store_cache_module.CONFIGURATION),
            confirmed_age=store_cache.confirmed_age(),
        )
        self.dependencies.telemetry.record_refusal(route, int(refusal.code))
        headers = [(codes.CODE_HEADER, str(int(refusal.code)))]
        if (
            refusal.retry_after is not None
            and refusal.ran is codes.ExecutionState.NO
        ):
            headers.append(wire.retry_after(refusal.retry_after))
        # A client account over its rate does not need to keep a connection to
        # this host, so the connection is closed, unless other requests on it
        # are open.
        close = refusal.code is codes.Code.RATE_EXCEEDED
        return pipelined_server.Answer(
            _refusal_status(refusal), tuple(headers), b"", close
        )


def _refusal_status(refusal: codes.Refusal) -> int:
    """Returns the HTTP status of a refusal.

    It depends on whether an upstream may have run the request.
    """
    status = codes.TABLE[refusal.code].status
    if refusal.ran is not codes.ExecutionState.NO:
        # Callers conclude from 429 and 503 that the request was not run.
        return status if status >= 502 and status != 503 else 502
    if refusal.code is codes.Code.SUSPECT_REQUEST:
        # The caller may retry later, which a 4xx status would forbid.
        return 503
    return status
