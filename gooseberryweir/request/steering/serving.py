"""Serves one request: admission, placement, sending, retries, the answer."""

from collections.abc import Callable
import logging
import random
from typing import NamedTuple

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import logs
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.connection import upstream_pool
from gooseberryweir.platform import headers as wire
from gooseberryweir.process.fleet import host_settings
from gooseberryweir.process.fleet import knowledge as knowledge_module
from gooseberryweir.request.steering import admission
from gooseberryweir.request.steering import limits
from gooseberryweir.request.steering import overload
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import regions
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.request.steering import upstream_state
from gooseberryweir.request.steering import work_times
from gooseberryweir.version import traffic

LOGGER = logging.getLogger(__name__)

# Wait of a caller that names none.
DEFAULT_PATIENCE_SECONDS = 30.0
# Least time that an attempt is worth starting with.
LEAST_ATTEMPT_SECONDS = 0.02
# A non-idempotent request uses a connection that was idle for at most this
# long: the upstream may be closing an older one at the same moment.
FRESH_SECONDS = 1.0
# Round trips between zones, until there are measurements.
ZONE_SECONDS = 0.002
REGION_SECONDS = 0.05
# When to come back after all upstreams were full: about one unit of work.
FULL_RETRY_SECONDS = 0.3
UNAVAILABLE_RETRY_SECONDS = 0.5


class Parts(NamedTuple):
    """What serving needs of the process.

    Attributes:
        settings: Settings of the host.
        clock: Source of time.
        knowledge: What the platform says.
        admission: Which requests may run.
        states: What was seen of the upstreams.
        retries: Budget of repeats.
        cold: Limits of cold upstreams.
        pool: Connections to upstreams.
        telemetry: Counters and histograms.
        demand: Returns the requests per second for a service by region.
        service_meter: Requests per second for each service at this host.
        refusing: Returns whether new requests are turned away.
    """

    settings: host_settings.HostSettings
    clock: clocks.Clock
    knowledge: knowledge_module.Knowledge
    admission: admission.Admission
    states: upstream_state.UpstreamStates
    retries: limits.RetryBudget
    cold: limits.ColdLimit
    pool: upstream_pool.UpstreamPool
    telemetry: telemetry_module.Telemetry
    demand: Callable[[str], dict[str, float]]
    service_meter: limits.RateMeter
    refusing: Callable[[], bool]


class _Work(NamedTuple):
    """One admitted request on its way.

    Attributes:
        message: The request as it came.
        said: What its headers say.
        admitted: Its route and client account.
        service: The service that runs it.
        deadline: Reading of the clock at which its answer is due.
        object_name: Names the object whose upstream is chosen, or empty.
    """

    message: http_messages.Message
    said: wire.CallerHeaders
    admitted: admission.Admitted
    service: str
    deadline: float
    object_name: str


class _Failure(NamedTuple):
    """Why an attempt has no answer to pass on.

    Attributes:
        code: The result code if no other attempt follows.
        ran: Whether the request may have run.
        reason: For the log.
        answer: An upstream's answer that tells the failure, or None.
    """

    code: codes.Code
    ran: codes.Ran
    reason: str
    answer: pipelined_server.Answer | None = None


class Serving:
    """Serves the requests of one host."""

    def __init__(self, parts: Parts, chance: random.Random) -> None:
        self.parts = parts
        self.chance = chance
        self.turns = placement.WeightedTurns()
        self.times = work_times.LearntTimes()
        self.staying = regions.StayingParts(parts.clock.monotonic)
        self.shifts = regions.ShiftBound(parts.clock.monotonic)

    def serve(self, message: http_messages.Message) -> pipelined_server.Answer:
        """Answers one request of a caller."""
        parts = self.parts
        began = parts.clock.monotonic()
        said = wire.decode_request(message.headers)
        if parts.refusing():
            refusal = codes.refuse(codes.Code.HOST_LEAVING, retry_after=0.0)
            return self._refuse(said, "", refusal, began)
        path = message.target.partition("?")[0]
        admitted = parts.admission.admit(said.host, path, said.key)
        if isinstance(admitted, codes.Refusal):
            return self._refuse(said, "", admitted, began)
        patience = said.patience or DEFAULT_PATIENCE_SECONDS
        deadline = began + min(patience, admitted.route.timeout)
        service = self.turns.next(admitted.route)
        parts.retries.request(service)
        named = admitted.route.affinity and said.affinity_key
        work = _Work(
            message,
            said,
            admitted,
            service,
            deadline,
            f"{service}\0{said.affinity_key}" if named else "",
        )
        return self._attempts(work, began)

    def _attempts(self, work: _Work, began: float) -> pipelined_server.Answer:
        """Sends a request to one upstream after the other until one answers."""
        tried: set[str] = set()
        ran = codes.Ran.NO
        failure: _Failure | None = None
        route = work.admitted.route
        for attempt in range(1, route.max_attempts + 1):
            now = self.parts.clock.monotonic()
            if work.deadline - now < LEAST_ATTEMPT_SECONDS:
                break
            choice = self._choose(work, tried)
            if choice is None:
                break
            if attempt == 1 and self._overloaded(work, choice):
                return self._shed(work, choice, began)
            if attempt > 1 and not self.parts.retries.take(work.service):
                self.parts.telemetry.count("retry_budget_spent")
                break
            tried.add(choice.upstream.name)
            found = self._attempt(work, choice, attempt, began)
            if isinstance(found, pipelined_server.Answer):
                return found
            failure = found
            if found.ran is not codes.Ran.NO:
                ran = found.ran
                if not route.idempotent:
                    break
        return self._give_up(work, failure, ran, began)

    def _overloaded(self, work: _Work, choice: placement.Choice) -> bool:
        """Whether the request would wait too long wherever it goes."""
        times = self.times.times(work.admitted.route, work.service)
        longest = overload.longest_wait(
            work.admitted.route.objective,
            self._round_trip(choice.upstream.zone),
            times.warm,
            times.mean,
            work.admitted.importance,
        )
        expected = (
            self._round_trip(choice.upstream.zone)
            + (times.warm if choice.warm else times.cold)
            + choice.wait
        )
        left = work.deadline - self.parts.clock.monotonic()
        return choice.wait > longest or (choice.wait > 0 and expected > left)

    def _shed(
        self, work: _Work, choice: placement.Choice, began: float
    ) -> pipelined_server.Answer:
        refusal = codes.refuse(
            codes.Code.NO_HEADROOM,
            f"would wait {choice.wait:.3f} s",
            retry_after=overload.retry_after(choice.wait, self.chance.random()),
        )
        return self._refuse(work.said, work.admitted.route.name, refusal, began)

    def _give_up(
        self,
        work: _Work,
        failure: _Failure | None,
        ran: codes.Ran,
        began: float,
    ) -> pipelined_server.Answer:
        if failure is not None and failure.answer is not None:
            return failure.answer
        if failure is None:
            refusal = codes.refuse(
                codes.Code.NO_HEADROOM,
                detail="no upstream may take the request now",
                retry_after=UNAVAILABLE_RETRY_SECONDS,
            )
        elif ran is codes.Ran.NO:
            refusal = codes.refuse(
                codes.Code.UPSTREAM_SHED,
                detail=failure.reason,
                retry_after=FULL_RETRY_SECONDS * (0.5 + self.chance.random()),
            )
        else:
            code = failure.code
            if codes.TABLE[code].ran is codes.Ran.NO:
                code = codes.Code.OUTCOME_UNKNOWN
            refusal = codes.refuse(code, detail=failure.reason, ran=ran)
        return self._refuse(work.said, work.admitted.route.name, refusal, began)

    def _choose(self, work: _Work, tried: set[str]) -> placement.Choice | None:
        candidates = self._in_bounds(self._candidates(work, tried))
        if not candidates:
            return None
        times = self.times.times(work.admitted.route, work.service)
        if work.object_name:
            return placement.choose_affine(work.object_name, candidates, times)
        return placement.choose_least(candidates, times, self.chance.randrange)

    def _in_bounds(
        self, candidates: list[placement.Candidate]
    ) -> list[placement.Candidate]:
        """Leaves out regions that would get too much more than before."""
        region_of = self.parts.settings.region_by_zone
        found = {region_of.get(each.upstream.zone, "") for each in candidates}
        if self.parts.settings.region not in found:
            # The region has lost its upstreams; work has to go elsewhere.
            return candidates
        allowed = self.shifts.allowed(found)
        return [
            each
            for each in candidates
            if region_of.get(each.upstream.zone, "") in allowed
        ] or candidates

    def _region_weights(
        self, work: _Work, upstreams: list[traffic.Upstream]
    ) -> dict[str, float]:
        """Returns the weight of a slot in each region for this request."""
        settings = self.parts.settings
        mean = self.times.times(work.admitted.route, work.service).mean
        slots = dict.fromkeys(settings.region_by_zone.values(), 0.0)
        for each in upstreams:
            region = settings.region_by_zone.get(each.zone, "")
            slots[region] = slots.get(region, 0.0) + each.slots
        demand = self.parts.demand(work.service)
        loads = {
            region: regions.RegionLoad(demand.get(region, 0.0) * mean, room)
            for region, room in slots.items()
        }
        wanted = regions.staying_part(settings.region, loads)
        stay = self.staying.part(work.service, wanted)
        return regions.region_weights(settings.region, loads, stay)

    def _candidates(
        self, work: _Work, tried: set[str]
    ) -> list[placement.Candidate]:
        parts = self.parts
        now = parts.clock.monotonic()
        known = parts.knowledge
        service = (
            known.configuration.services.get(work.service)
            if known.configuration
            else None
        )
        open_upstreams = [
            each
            for each in known.upstreams.values()
            if each.service == work.service
            and not each.leaving
            and each.zone not in known.evacuated
        ]
        weights = self._region_weights(work, open_upstreams)
        found = []
        for upstream in open_upstreams:
            if upstream.name in tried or not self._allowed(work, upstream):
                continue
            state = parts.states.get(upstream.name, upstream.slots)
            if not state.usable(now):
                continue
            if (
                service is not None
                and self._cold(upstream, now)
                and not parts.cold.free(upstream.name, service.cold_rate)
            ):
                continue
            region = parts.settings.region_by_zone.get(upstream.zone, "")
            found.append(
                placement.Candidate(
                    upstream,
                    state.estimate(now),
                    self._round_trip(upstream.zone),
                    upstream.slots * weights.get(region, 1.0),
                    state.warm(work.object_name, now),
                )
            )
        return found

    def _cold(self, upstream: traffic.Upstream, now: float) -> bool:
        return self.parts.knowledge.cold_until.get(upstream.name, 0.0) > now

    def _allowed(self, work: _Work, upstream: traffic.Upstream) -> bool:
        regions = work.admitted.regions
        if not regions:
            return True
        region = self.parts.settings.region_by_zone.get(upstream.zone, "")
        return region in regions

    def _round_trip(self, zone: str) -> float:
        settings = self.parts.settings
        if zone == settings.zone:
            return 0.0
        region = settings.region_by_zone.get(zone, "")
        return ZONE_SECONDS if region == settings.region else REGION_SECONDS

    def _attempt(
        self,
        work: _Work,
        choice: placement.Choice,
        attempt: int,
        began: float,
    ) -> pipelined_server.Answer | _Failure:
        """Sends a request to one upstream."""
        parts = self.parts
        upstream = choice.upstream
        state = parts.states.get(upstream.name, upstream.slots)
        now = parts.clock.monotonic()
        cold = self._cold(upstream, now)
        if cold:
            parts.cold.take(upstream.name)
        self.shifts.add(parts.settings.region_by_zone.get(upstream.zone, ""))
        self._log_placement(work, choice, attempt, cold)
        state.sent()
        try:
            reply = self._exchange(work, upstream, now)
        except upstream_pool.ConnectError as error:
            state.failed(parts.clock.monotonic(), f"connect {error}", True)
            return _Failure(
                codes.Code.UPSTREAM_SHED, codes.Ran.NO, f"connect {error}"
            )
        except upstream_pool.BrokenAnswerError as error:
            state.failed(parts.clock.monotonic(), f"broken {error}", True)
            return _Failure(
                codes.Code.UPSTREAM_DIED, codes.Ran.UNKNOWN, f"broken {error}"
            )
        except upstream_pool.DeadlineError:
            state.timed_out(parts.clock.monotonic())
            return _Failure(
                codes.Code.UPSTREAM_TIMEOUT, codes.Ran.UNKNOWN, "timeout"
            )
        finally:
            state.ended()
        return self._take_reply(work, choice, state, reply, attempt, began)

    def _exchange(
        self, work: _Work, upstream: traffic.Upstream, now: float
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
            upstream.name,
            upstream.address,
            http_messages.encode_request(
                message.method, message.target, sent, message.body
            ),
            left,
            lambda found: wire.decode_answer(200, found).request_id == wanted,
            lambda found: wire.decode_answer(200, found).idle_seconds,
            upstream_pool.DEFAULT_IDLE_SECONDS
            if work.admitted.route.idempotent
            else FRESH_SECONDS,
        )
        if reply.opened:
            self.parts.telemetry.count("upstream_connections")
        return reply

    def _take_reply(
        self,
        work: _Work,
        choice: placement.Choice,
        state: upstream_state.UpstreamState,
        reply: upstream_pool.Reply,
        attempt: int,
        began: float,
    ) -> pipelined_server.Answer | _Failure:
        now = self.parts.clock.monotonic()
        status = reply.message.status
        told = wire.decode_answer(status, reply.message.headers)
        if told.load is not None:
            state.load_reported(
                told.load.running + told.load.waiting, told.load.slots, now
            )
        if told.not_run:
            if status == wire.MISDIRECTED:
                state.failed(now, "another upstream has the address", True)
            else:
                state.shed(now)
            return _Failure(
                codes.Code.UPSTREAM_SHED, codes.Ran.NO, f"not run {status}"
            )
        answer = pipelined_server.Answer(
            status, told.passed_on, reply.message.body
        )
        if status >= 500:
            state.failed(now, f"status {status}", False)
            return _Failure(
                codes.Code.OUTCOME_UNKNOWN,
                codes.Ran.YES,
                f"status {status}",
                answer,
            )
        self._learn(work, choice, state, reply)
        self.parts.telemetry.served(
            work.admitted.route.name, now - began, attempt
        )
        logs.event(
            LOGGER,
            "request-served",
            request=work.said.request_id,
            route=work.admitted.route.name,
            upstream=choice.upstream.name,
            status=status,
            attempt=attempt,
            seconds=now - began,
        )
        return answer

    def _learn(
        self,
        work: _Work,
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
        spent = reply.seconds - self._round_trip(choice.upstream.zone)
        self.times.learn_mean(
            work.service, spent - (choice.wait if waited else 0.0)
        )
        if waited:
            state.succeeded(now, None)
            return
        times = self.times.times(route, work.service)
        expected = times.warm if choice.warm else times.cold
        state.succeeded(now, spent / expected)
        self.times.learn(
            route, work.service, choice.warm, spent / state.slowness
        )

    def _log_placement(
        self,
        work: _Work,
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

    def _refuse(
        self,
        said: wire.CallerHeaders,
        route: str,
        refusal: codes.Refusal,
        began: float,
    ) -> pipelined_server.Answer:
        """Returns the answer that tells a refusal."""
        known = self.parts.knowledge
        logs.event(
            LOGGER,
            "request-refused",
            request=said.request_id,
            route=route,
            code=int(refusal.code),
            ran=refusal.ran.value,
            detail=refusal.detail,
            retry_after=refusal.retry_after or 0.0,
            seconds=self.parts.clock.monotonic() - began,
            configuration=known.revision(knowledge_module.CONFIGURATION),
            confirmed_age=known.age(),
        )
        self.parts.telemetry.refused(route, int(refusal.code))
        headers = [("Gooseberryweir-Code", str(int(refusal.code)))]
        if refusal.retry_after is not None and refusal.ran is codes.Ran.NO:
            headers.append(wire.retry_after(refusal.retry_after))
        status = codes.TABLE[refusal.code].status
        if refusal.ran is not codes.Ran.NO and status in (429, 503):
            status = 502
        return pipelined_server.Answer(status, tuple(headers), b"")
