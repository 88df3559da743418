"""Sends a request to one upstream and learns from what comes back."""

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
from gooseberryweir.process.fleet import knowledge as knowledge_module
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import selection as selection_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.request.steering import work as work_module
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# What a failure shows when no connection opens or another upstream answers.
DOWN = upstream_state.EJECT_EVIDENCE
# A non-idempotent request uses a connection that was idle for at most this
# long: the upstream may be closing an older one at the same moment.
FRESH_SECONDS = 1.0


class SendingParts(NamedTuple):
    """What sending needs of the process.

    Attributes:
        clock: Source of time.
        knowledge: What the platform says.
        states: What was seen of the upstreams.
        selection: Learns how long requests take.
        pool: Connections to upstreams.
        telemetry: Counters and histograms.
        suspects: Requests that end upstreams.
    """

    clock: clocks.Clock
    knowledge: knowledge_module.Knowledge
    states: upstream_state.UpstreamStates
    selection: selection_module.Selection
    pool: upstream_pool.UpstreamPool
    telemetry: telemetry_module.Telemetry
    suspects: suspects_module.Suspects


class Sending:
    """Sends requests to upstreams."""

    def __init__(self, parts: SendingParts) -> None:
        self.parts = parts

    def attempt(
        self,
        work: work_module.Work,
        choice: placement.Choice,
        attempt: int,
    ) -> pipelined_server.Answer | work_module.Failure:
        """Sends a request to one upstream."""
        parts = self.parts
        upstream = choice.upstream
        state = parts.states.get(upstream.name, upstream.slots)
        now = parts.clock.monotonic()
        cold = parts.selection.cold(upstream)
        parts.selection.sent(choice)
        self._log_placement(work, choice, attempt, cold)
        state.sent()
        try:
            reply = self._exchange(work, upstream, now)
        except upstream_pool.ConnectError as error:
            state.failed(parts.clock.monotonic(), f"connect {error}", DOWN)
            return work_module.Failure(
                codes.Code.UPSTREAM_SHED, codes.Ran.NO, f"connect {error}"
            )
        except upstream_pool.BrokenAnswerError as error:
            if isinstance(error, upstream_pool.NoAnswerError):
                parts.suspects.crashed(
                    work.fingerprint, f"{upstream.name}/{upstream.born}"
                )
            state.failed(parts.clock.monotonic(), f"broken {error}", 1)
            return work_module.Failure(
                codes.Code.UPSTREAM_DIED, codes.Ran.UNKNOWN, f"broken {error}"
            )
        except upstream_pool.DeadlineError:
            times = parts.selection.times.times(
                work.admitted.route, work.service
            )
            ended = parts.clock.monotonic()
            state.timed_out(ended, ended - now, times.mean)
            return work_module.Failure(
                codes.Code.UPSTREAM_TIMEOUT, codes.Ran.UNKNOWN, "timeout"
            )
        finally:
            state.ended()
        return self._take_reply(work, choice, state, reply, attempt)

    def _exchange(
        self, work: work_module.Work, upstream: traffic.Upstream, now: float
    ) -> upstream_pool.Reply:
        left = work.deadline - now
        account = work.admitted.account
        sent = wire.encode_request(
            work.said.passed_on,
            upstream.name,
            account.name if account else "",
            left,
        )
        message = work.message
        wanted = work.said.request_id
        reply = self.parts.pool.exchange(
            upstream_pool.Target(
                upstream.name,
                upstream.address,
                upstream_pool.DEFAULT_IDLE_SECONDS
                if work.admitted.route.idempotent
                else FRESH_SECONDS,
                self.parts.selection.max_connections(work.service),
            ),
            http_messages.encode_request(
                message.method, message.target, sent, message.body
            ),
            left,
            lambda found: wire.answered_id(found) == wanted,
            wire.idle_seconds,
        )
        if reply.new_connection:
            self.parts.telemetry.count("upstream_connections")
        return reply

    def _take_reply(
        self,
        work: work_module.Work,
        choice: placement.Choice,
        state: upstream_state.UpstreamState,
        reply: upstream_pool.Reply,
        attempt: int,
    ) -> pipelined_server.Answer | work_module.Failure:
        now = self.parts.clock.monotonic()
        status = reply.message.status
        told = wire.decode_answer(status, reply.message.headers)
        if self.parts.suspects.exist() and not told.not_run:
            self.parts.suspects.succeeded(work.fingerprint)
        if told.load is not None:
            state.load_reported(
                told.load.running + told.load.waiting, told.load.slots, now
            )
        if told.not_run:
            if status == wire.MISDIRECTED:
                state.failed(now, "another upstream has the address", DOWN)
            else:
                state.shed(now)
            return work_module.Failure(
                codes.Code.UPSTREAM_SHED, codes.Ran.NO, f"not run {status}"
            )
        answer = pipelined_server.Answer(
            status, told.passed_on, reply.message.body
        )
        if status >= 500:
            state.failed(now, f"status {status}", 0)
            return work_module.Failure(
                codes.Code.OUTCOME_UNKNOWN,
                codes.Ran.YES,
                f"status {status}",
                answer,
            )
        self._learn(work, choice, state, reply)
        self.parts.telemetry.served(
            work.admitted.route.name, now - work.began, attempt
        )
        logs.event(
            LOGGER,
            "request-served",
            request=work.said.request_id,
            route=work.admitted.route.name,
            upstream=choice.upstream.name,
            status=status,
            attempt=attempt,
            seconds=now - work.began,
        )
        return answer

    def _learn(
        self,
        work: work_module.Work,
        choice: placement.Choice,
        state: upstream_state.UpstreamState,
        reply: upstream_pool.Reply,
    ) -> None:
        """Learns from a good answer how long work takes here and there."""
        now = self.parts.clock.monotonic()
        state.ran(work.object_name, now)
        told = wire.decode_answer(200, reply.message.headers)
        waited = told.load is not None and told.load.waiting > 0
        route = work.admitted.route
        spent = reply.seconds - self.parts.selection.round_trip(
            choice.upstream.zone
        )
        learnt = self.parts.selection.times
        times = learnt.times(route, work.service)
        kept = spent - (choice.wait if waited else 0.0)
        learnt.learn_mean(work.service, kept)
        if waited:
            state.succeeded(now, None)
            return
        warm = choice.warm
        if warm:
            # What took nearer to the time of cold work was not warm.
            middle = math.sqrt(times.warm * times.cold)
            warm = spent / state.slowness < middle
        if choice.seen:
            state.found(warm)
        state.succeeded(now, spent / (times.warm if warm else times.cold))
        learnt.learn(route, work.service, warm, spent / state.slowness)

    def _log_placement(
        self,
        work: work_module.Work,
        choice: placement.Choice,
        attempt: int,
        cold: bool,
    ) -> None:
        known = self.parts.knowledge
        logs.event(
            LOGGER,
            "request-placed",
            request=work.said.request_id,
            route=work.admitted.route.name,
            account=work.admitted.account.name if work.admitted.account else "",
            attempt=attempt,
            object=work.said.affinity_key,
            upstream=choice.upstream.name,
            zone=choice.upstream.zone,
            place=choice.place,
            candidates=choice.candidates,
            cost=choice.cost,
            wait=choice.wait,
            warm=choice.warm,
            cold=cold,
            configuration=known.revision(knowledge_module.CONFIGURATION),
            upstreams=known.revision(knowledge_module.UPSTREAMS),
            confirmed_age=known.age(),
        )
