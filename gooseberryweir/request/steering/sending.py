"""Sends a request to one upstream and records the outcome."""

import logging
import math
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import headers as wire
from gooseberryweir.process.fleet import store_cache as store_cache_module
from gooseberryweir.process.fleet import (
    upstream_limits as upstream_limits_module,
)
from gooseberryweir.request.steering import crash_checks as crash_checks_module
from gooseberryweir.request.steering import forwarding
from gooseberryweir.request.steering import pending_request
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import reachability as reachability_module
from gooseberryweir.request.steering import selection as selection_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.request.steering import (
    upstream_notices as upstream_notices_module,
)
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Score of a failure that shows that an upstream is down, so that it is ejected
# (gets no requests for some time): a failed connection, or an answer of another
# upstream at its address.
DOWN_SCORE = upstream_state.EJECTION_SCORE
# A non-idempotent request uses a connection that was idle for at most this
# long: the upstream may just be closing one that was idle for longer.
MAX_NON_IDEMPOTENT_IDLE_SECONDS = 1.0


def probe(
    pool: upstream_pool.UpstreamPool,
    upstream: traffic.Upstream,
    timeout: float,
) -> bool:
    """Returns True if an upstream answers over a new connection.

    Sends a request that no upstream runs.

    Args:
        pool: Connections to upstreams.
        upstream: The upstream.
        timeout: Longest time to connect and to get the answer, in seconds.
    """
    try:
        pool.exchange(
            upstream_pool.Endpoint(
                upstream.name, upstream.address, max_idle_seconds=0.0
            ),
            http_messages.encode_request(
                "GET", "/", wire.encode_probe(upstream.address), b""
            ),
            timeout,
            lambda _headers: True,
            wire.keep_alive_seconds,
        )
    except (upstream_pool.ConnectError, upstream_pool.DeadlineError):
        return False
    except upstream_pool.BrokenAnswerError as error:
        # Any byte shows that the upstream was reached.
        return not isinstance(error, upstream_pool.NoAnswerError)
    return True


class SendingDependencies(NamedTuple):
    """Objects of the process that sending uses.

    Attributes:
        clock: Source of time.
        store_cache: Cache of the platform's store.
        states: Load, speed and failures of upstreams.
        selection: Selects upstreams; tracks processing times and limits.
        pool: Connections to upstreams.
        telemetry: Counters and histograms.
        suspects: Requests that may have crashed upstreams.
        upstream_limits: Rate limits that upstreams advertise.
        reachability: Tells whether this host reaches any upstream.
        notices: Upstreams that leave or want no requests for some time.
        crash_checks: Finds out which upstreams have crashed.
    """

    clock: clocks.Clock
    store_cache: store_cache_module.StoreCache
    states: upstream_state.UpstreamStates
    selection: selection_module.Selection
    pool: upstream_pool.UpstreamPool
    telemetry: telemetry_module.Telemetry
    suspects: suspects_module.SuspectTracker
    upstream_limits: upstream_limits_module.UpstreamLimits
    reachability: reachability_module.UpstreamReachability
    notices: upstream_notices_module.UpstreamNotices
    crash_checks: crash_checks_module.CrashChecks


class UpstreamSender:
    """Sends requests to upstreams."""

    def __init__(self, dependencies: SendingDependencies) -> None:
        self.dependencies = dependencies

    def attempt(
        self,
        request: pending_request.PendingRequest,
        choice: placement.Choice,
        attempt: int,
    ) -> pipelined_server.Answer | pending_request.AttemptFailure:
        """Sends a request to one upstream.

        Args:
            request: The request.
            choice: The chosen upstream.
            attempt: Number of the attempt, from 1.

        Returns:
            The answer for the caller, or the failure of the attempt.
        """
        dependencies = self.dependencies
        upstream = choice.upstream
        state = dependencies.states.get(upstream.name, upstream.slots)
        sent_at = dependencies.clock.monotonic()
        upstream_is_cold = dependencies.selection.is_cold(upstream)
        dependencies.selection.record_sent(choice)
        self._log_placement(request, choice, attempt, upstream_is_cold)
        state.record_sent()
        dependencies.reachability.record_sent(upstream.name)
        try:
            reply = self._exchange(request, upstream, sent_at)
        except upstream_pool.ConnectError as error:
            dependencies.reachability.record_no_answer(upstream.name, True)
            state.record_failure(
                dependencies.clock.monotonic(),
                f"connection failed: {error}",
                DOWN_SCORE,
            )
            return pending_request.AttemptFailure(
                codes.Code.UPSTREAM_SHED,
                codes.ExecutionState.NO,
                f"connection failed: {error}",
            )
        except upstream_pool.BrokenAnswerError as error:
            silent = isinstance(error, upstream_pool.NoAnswerError)
            if isinstance(error, upstream_pool.NoAnswerError):
                dependencies.reachability.record_no_answer(
                    upstream.name, error.new_connection
                )
                if dependencies.reachability.reachable:
                    dependencies.suspects.record_crash(
                        request.fingerprint, upstream.incarnation
                    )
            else:
                self._log_broken(request, upstream, error)
                dependencies.crash_checks.begin(
                    request.fingerprint, upstream, may_be_whole=False
                )
            state.record_failure(
                dependencies.clock.monotonic(),
                f"broken answer: {error}",
                1,
                silent,
            )
            return pending_request.AttemptFailure(
                codes.Code.UPSTREAM_DIED,
                codes.ExecutionState.UNKNOWN,
                f"broken answer: {error}",
            )
        except upstream_pool.DeadlineError as error:
            times = dependencies.selection.processing_times.estimate(
                request.admitted.route, request.service
            )
            ended_at = dependencies.clock.monotonic()
            state.record_timeout(
                ended_at, ended_at - sent_at, times.mean, error.held_up
            )
            return pending_request.AttemptFailure(
                codes.Code.UPSTREAM_TIMEOUT,
                codes.ExecutionState.UNKNOWN,
                "timeout",
            )
        finally:
            state.record_ended()
            dependencies.reachability.record_ended(upstream.name)
        dependencies.reachability.record_answer(
            upstream.name, reply.new_connection
        )
        return self._handle_reply(
            request, choice, state, reply, attempt, sent_at
        )

    def _log_broken(
        self,
        request: pending_request.PendingRequest,
        upstream: traffic.Upstream,
        error: upstream_pool.BrokenAnswerError,
    ) -> None:
        """Logs and counts an answer that is malformed, cut off or too large."""
        self.dependencies.telemetry.count("answer_broken")
        logs.event(
            LOGGER,
            "answer-broken",
            request=request.caller_headers.request_id,
            upstream=upstream.name,
            reason=str(error),
        )

    def _exchange(
        self,
        request: pending_request.PendingRequest,
        upstream: traffic.Upstream,
        sent_at: float,
    ) -> upstream_pool.Reply:
        """Sends a request and waits for the reply until the deadline."""
        remaining = request.deadline - sent_at
        account = request.admitted.account
        upstream_headers = wire.encode_request(
            request.caller_headers.forwarded,
            upstream.name,
            account.name if account else "",
            remaining,
        )
        message = request.message
        request_id = request.caller_headers.request_id
        reply = self.dependencies.pool.exchange(
            upstream_pool.Endpoint(
                upstream.name,
                upstream.address,
                upstream_pool.DEFAULT_IDLE_SECONDS
                if request.admitted.route.idempotent
                else MAX_NON_IDEMPOTENT_IDLE_SECONDS,
                self.dependencies.selection.max_connections(request.service),
            ),
            http_messages.encode_request(
                message.method, message.target, upstream_headers, message.body
            ),
            remaining,
            lambda headers: wire.response_request_id(headers) == request_id,
            wire.keep_alive_seconds,
        )
        if reply.new_connection:
            self.dependencies.telemetry.count("upstream_connections")
            self.dependencies.selection.round_trips.record(
                upstream.zone, reply.connect_seconds
            )
        return reply

    def _handle_reply(
        self,
        request: pending_request.PendingRequest,
        choice: placement.Choice,
        state: upstream_state.UpstreamState,
        reply: upstream_pool.Reply,
        attempt: int,
        sent_at: float,
    ) -> pipelined_server.Answer | pending_request.AttemptFailure:
        """Records the reply and converts it to an answer or a failure."""
        dependencies = self.dependencies
        now = dependencies.clock.monotonic()
        status = reply.message.status
        answer_headers = wire.decode_response(status, reply.message.headers)
        if not answer_headers.not_executed:
            self._record_run(request, choice.upstream, reply.message)
        if answer_headers.load is not None:
            state.record_load(
                answer_headers.load.running + answer_headers.load.waiting,
                answer_headers.load.slots,
                now,
            )
        if status != wire.MISDIRECTED_STATUS:
            dependencies.upstream_limits.record_answer(
                choice.upstream.incarnation,
                answer_headers.request_limit,
                sent_at,
            )
        self._record_notices(choice.upstream.incarnation, answer_headers)
        if answer_headers.not_executed:
            if status == wire.MISDIRECTED_STATUS:
                state.record_failure(
                    now, "another upstream uses the address", DOWN_SCORE
                )
            else:
                state.record_shed(now)
            return pending_request.AttemptFailure(
                codes.Code.UPSTREAM_SHED,
                codes.ExecutionState.NO,
                f"upstream did not run the request: status {status}",
            )
        state.record_run(now, sent_at)
        headers = answer_headers.forwarded
        if request.is_forwarded and answer_headers.leaving:
            headers += (
                (forwarding.LEAVING_HEADER, choice.upstream.incarnation),
            )
        answer = pipelined_server.relayed_answer(
            request.message.method, reply.message, headers
        )
        if pending_request.claims_not_run(request, status):
            state.record_failure(now, f"status {status}", 0)
            return pending_request.unproven_refusal(status)
        if status >= 500:
            state.record_failure(now, f"status {status}", 0)
            return pending_request.AttemptFailure(
                codes.Code.OUTCOME_UNKNOWN,
                codes.ExecutionState.YES,
                f"status {status}",
                answer,
            )
        warm = self._record_success(request, choice, state, reply)
        self.dependencies.telemetry.record_served(
            request.admitted.route.name, now - request.started_at, attempt
        )
        logs.event(
            LOGGER,
            "request-served",
            request=request.caller_headers.request_id,
            route=request.admitted.route.name,
            upstream=choice.upstream.name,
            status=status,
            attempt=attempt,
            seconds=now - request.started_at,
            objective=request.admitted.route.objective,
            attempt_seconds=now - sent_at,
            round_trip=dependencies.selection.round_trips.estimate(
                choice.upstream.zone
            ),
            remote=dependencies.selection.round_trips.is_remote(
                choice.upstream.zone
            ),
            waiting=answer_headers.load.waiting if answer_headers.load else 0,
            warm=warm,
        )
        return answer

    def _record_run(
        self,
        request: pending_request.PendingRequest,
        upstream: traffic.Upstream,
        answer: http_messages.Message,
    ) -> None:
        """Clears a suspect that an upstream has answered and outlived."""
        dependencies = self.dependencies
        if http_messages.ends_with_connection(request.message.method, answer):
            dependencies.crash_checks.begin(
                request.fingerprint, upstream, may_be_whole=True
            )
        elif dependencies.suspects.any_suspects():
            dependencies.suspects.record_success(request.fingerprint)

    def _record_notices(
        self, incarnation: str, answer_headers: wire.ResponseHeaders
    ) -> None:
        """Records what an upstream says about further requests.

        Only the answer to this request counts; the pool drops answers with the
        id of another one. If another upstream answered at the address (status
        421), the incarnation that was meant has ended.
        """
        notices = self.dependencies.notices
        if answer_headers.leaving:
            notices.record_leaving(incarnation, "answer")
        if answer_headers.pause_seconds > 0:
            notices.record_pause(incarnation, answer_headers.pause_seconds)

    def _record_success(
        self,
        request: pending_request.PendingRequest,
        choice: placement.Choice,
        state: upstream_state.UpstreamState,
        reply: upstream_pool.Reply,
    ) -> bool:
        """Records the processing time of an answered request.

        If the upstream had handled the object recently, it also records whether
        the object was still warm (see `placement`).

        Returns:
            True if the object seems to have been warm; the expectation if the
            request waited for a slot, since its time then does not tell.
        """
        now = self.dependencies.clock.monotonic()
        state.record_object(request.object_name, now)
        answer_headers = wire.decode_response(200, reply.message.headers)
        waited = (
            answer_headers.load is not None and answer_headers.load.waiting > 0
        )
        route = request.admitted.route
        elapsed = (
            reply.seconds
            - self.dependencies.selection.round_trips.estimate(
                choice.upstream.zone
            )
        )
        tracker = self.dependencies.selection.processing_times
        estimate = tracker.estimate(route, request.service)
        processing_time = elapsed - (choice.wait if waited else 0.0)
        tracker.record_mean(request.service, processing_time)
        if waited:
            state.record_success(now, None)
            return choice.warm
        warm = choice.warm
        if warm:
            # The object was cold if the time is nearer to that of cold objects.
            warm_threshold = math.sqrt(estimate.warm * estimate.cold)
            warm = elapsed / state.slowness < warm_threshold
        if choice.handled_recently:
            state.record_affinity_result(warm)
        state.record_success(
            now, elapsed / (estimate.warm if warm else estimate.cold)
        )
        tracker.record(route, request.service, warm, elapsed / state.slowness)
        return warm

    def _log_placement(
        self,
        request: pending_request.PendingRequest,
        choice: placement.Choice,
        attempt: int,
        upstream_is_cold: bool,
    ) -> None:
        """Logs the chosen upstream and the estimates for the choice."""
        store_cache = self.dependencies.store_cache
        logs.event(
            LOGGER,
            "request-placed",
            request=request.caller_headers.request_id,
            route=request.admitted.route.name,
            account=request.admitted.account.name
            if request.admitted.account
            else "",
            attempt=attempt,
            object=request.caller_headers.affinity_key,
            upstream=choice.upstream.name,
            zone=choice.upstream.zone,
            place=choice.rank,
            candidates=choice.candidate_count,
            cost=choice.cost,
            wait=choice.wait,
            warm=choice.warm,
            cold=upstream_is_cold,
            limit=self.dependencies.upstream_limits.rate(
                choice.upstream.incarnation
            ),
            configuration=store_cache.version(store_cache_module.CONFIGURATION),
            upstreams=store_cache.version(store_cache_module.UPSTREAMS),
            confirmed_age=store_cache.confirmed_age(),
        )
