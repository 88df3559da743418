"""Serves a caller's request: admission, upstream selection, retries, answer."""

from collections.abc import Callable
import logging
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.platform import headers as wire
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.request import fingerprints
from gooseberryweir.request.steering import admission
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import pending_request
from gooseberryweir.request.steering import placement
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


class RequestHandler:
    """Serves the requests that callers send to this host.

    Attributes:
        dependencies: Objects of the process that serving uses.
        round_robin: Distribution of each route's requests over its services.
    """

    def __init__(self, dependencies: ServingDependencies) -> None:
        self.dependencies = dependencies
        self.round_robin = placement.WeightedRoundRobin()

    def serve(self, message: http_messages.Message) -> pipelined_server.Answer:
        """Returns the answer to a caller's request."""
        dependencies = self.dependencies
        started_at = dependencies.clock.monotonic()
        caller_headers = wire.decode_request(message.headers)
        if dependencies.refusing():
            refusal = codes.refuse(codes.Code.HOST_LEAVING, retry_after=0.0)
            return self._refuse(caller_headers, "", refusal, started_at)
        path = message.target.partition("?")[0]
        admitted = dependencies.admission.admit(
            caller_headers.host, path, caller_headers.key
        )
        if isinstance(admitted, codes.Refusal):
            return self._refuse(caller_headers, "", admitted, started_at)
        caller_timeout = (
            caller_headers.timeout_seconds or DEFAULT_CALLER_TIMEOUT_SECONDS
        )
        deadline = started_at + min(caller_timeout, admitted.route.timeout)
        service = self.round_robin.next(admitted.route)
        dependencies.retry_budget.record_request(service)
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
        )
        return self._attempt_upstreams(request)

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

    def _attempt_upstreams(
        self, request: pending_request.PendingRequest
    ) -> pipelined_server.Answer:
        """Sends a request to one upstream after another until one answers."""
        tried: set[str] = set()
        ran = codes.ExecutionState.NO
        failure: pending_request.AttemptFailure | None = None
        route = request.admitted.route
        for attempt in range(1, route.max_attempts + 1):
            now = self.dependencies.clock.monotonic()
            if request.deadline - now < MIN_ATTEMPT_SECONDS:
                break
            if delay := self.dependencies.suspects.retry_delay(
                request.fingerprint
            ):
                return self._refuse_suspect(request, ran, delay)
            choice = self._choose(request, tried, attempt)
            if choice is None:
                break
            if attempt == 1 and self.dependencies.selection.is_overloaded(
                request, choice
            ):
                return self._refuse_overloaded(request, choice)
            if attempt > 1 and not self.dependencies.retry_budget.try_acquire(
                request.service
            ):
                self.dependencies.telemetry.count("retry_budget_spent")
                break
            tried.add(choice.upstream.name)
            outcome = self.dependencies.sender.attempt(request, choice, attempt)
            if isinstance(outcome, pipelined_server.Answer):
                return outcome
            failure = outcome
            if outcome.ran is not codes.ExecutionState.NO:
                ran = outcome.ran
                if not route.idempotent:
                    break
        return self._finish_failed(request, failure, ran)

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
        if failure is None:
            refusal = codes.refuse(
                codes.Code.NO_HEADROOM,
                detail="no upstream can take the request now",
                retry_after=UNAVAILABLE_RETRY_SECONDS,
            )
        elif ran is codes.ExecutionState.NO:
            refusal = codes.refuse(
                codes.Code.UPSTREAM_SHED,
                detail=failure.reason,
                retry_after=SHED_RETRY_SECONDS
                * (0.5 + self.dependencies.rng.random()),
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
            configuration=store_cache.revision(
                store_cache_module.CONFIGURATION
            ),
            confirmed_age=store_cache.confirmed_age(),
        )
        self.dependencies.telemetry.record_refusal(route, int(refusal.code))
        headers = [("Gooseberryweir-Code", str(int(refusal.code)))]
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
