"""Serves one request: admission, selection, sending, repeats, the answer."""

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
from gooseberryweir.request.steering import placement
from gooseberryweir.request.steering import selection as selection_module
from gooseberryweir.request.steering import sending as sending_module
from gooseberryweir.request.steering import suspects as suspects_module
from gooseberryweir.request.steering import telemetry as telemetry_module
from gooseberryweir.request.steering import work as work_module

LOGGER = logging.getLogger(__name__)

# Wait of a caller that names none.
DEFAULT_PATIENCE_SECONDS = 30.0
# Least time that an attempt is worth starting with.
LEAST_ATTEMPT_SECONDS = 0.02
# When to come back after all upstreams were full: about one unit of work.
FULL_RETRY_SECONDS = 0.3
UNAVAILABLE_RETRY_SECONDS = 0.5


class Parts(NamedTuple):
    """What serving needs of the process.

    Attributes:
        clock: Source of time.
        knowledge: What the platform says.
        admission: Which requests may run.
        selection: Selects upstreams.
        sending: Sends to upstreams.
        retries: Budget of repeats.
        telemetry: Counters and histograms.
        refusing: Returns whether new requests are turned away.
        chance: Source of randomness.
        suspects: Requests that end upstreams.
    """

    clock: clocks.Clock
    knowledge: store_cache_module.StoreCache
    admission: admission.Admission
    selection: selection_module.Selection
    sending: sending_module.Sending
    retries: limits.RetryBudget
    telemetry: telemetry_module.Telemetry
    refusing: Callable[[], bool]
    chance: random.Random
    suspects: suspects_module.Suspects


class Serving:
    """Serves the requests of one host."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.turns = placement.WeightedTurns()

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
        patience = said.timeout_seconds or DEFAULT_PATIENCE_SECONDS
        deadline = began + min(patience, admitted.route.timeout)
        service = self.turns.next(admitted.route)
        parts.retries.request(service)
        named = admitted.route.affinity and said.affinity_key
        work = work_module.Work(
            message,
            said,
            admitted,
            service,
            began,
            deadline,
            f"{service}\0{said.affinity_key}" if named else "",
            fingerprints.fingerprint(
                admitted.account.name if admitted.account else "",
                message.method,
                message.target,
                message.body,
            ),
        )
        return self._attempts(work)

    def _attempts(self, work: work_module.Work) -> pipelined_server.Answer:
        """Sends a request to one upstream after the other until one answers."""
        tried: set[str] = set()
        ran = codes.Ran.NO
        failure: work_module.Failure | None = None
        route = work.admitted.route
        for attempt in range(1, route.max_attempts + 1):
            now = self.parts.clock.monotonic()
            if work.deadline - now < LEAST_ATTEMPT_SECONDS:
                break
            if wait := self.parts.suspects.wait(work.fingerprint):
                return self._hold_back(work, ran, wait)
            choice = self.parts.selection.choose(work, tried)
            if choice is None:
                break
            if attempt == 1 and self.parts.selection.overloaded(work, choice):
                return self._shed(work, choice)
            if attempt > 1 and not self.parts.retries.take(work.service):
                self.parts.telemetry.count("retry_budget_spent")
                break
            tried.add(choice.upstream.name)
            found = self.parts.sending.attempt(work, choice, attempt)
            if isinstance(found, pipelined_server.Answer):
                return found
            failure = found
            if found.ran is not codes.Ran.NO:
                ran = found.ran
                if not route.idempotent:
                    break
        return self._give_up(work, failure, ran)

    def _hold_back(
        self, work: work_module.Work, ran: codes.Ran, wait: float
    ) -> pipelined_server.Answer:
        """Refuses a request that ended upstreams until its next try."""
        refusal = codes.refuse(
            codes.Code.SUSPECT_REQUEST, ran=ran, retry_after=wait
        )
        return self._refuse(
            work.said, work.admitted.route.name, refusal, work.began
        )

    def _shed(
        self, work: work_module.Work, choice: placement.Choice
    ) -> pipelined_server.Answer:
        refusal = codes.refuse(
            codes.Code.NO_HEADROOM,
            f"would wait {choice.wait:.3f} s",
            retry_after=overload.retry_after(
                choice.wait, self.parts.chance.random()
            ),
        )
        return self._refuse(
            work.said, work.admitted.route.name, refusal, work.began
        )

    def _give_up(
        self,
        work: work_module.Work,
        failure: work_module.Failure | None,
        ran: codes.Ran,
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
                retry_after=FULL_RETRY_SECONDS
                * (0.5 + self.parts.chance.random()),
            )
        else:
            code = failure.code
            if codes.TABLE[code].ran is codes.Ran.NO:
                code = codes.Code.OUTCOME_UNKNOWN
            refusal = codes.refuse(code, detail=failure.reason, ran=ran)
        return self._refuse(
            work.said, work.admitted.route.name, refusal, work.began
        )

    def _refuse(
        self,
        said: wire.RequestHeaders,
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
            configuration=known.revision(store_cache_module.CONFIGURATION),
            confirmed_age=known.confirmed_age(),
        )
        self.parts.telemetry.refused(route, int(refusal.code))
        headers = [("Gooseberryweir-Code", str(int(refusal.code)))]
        if refusal.retry_after is not None and refusal.ran is codes.Ran.NO:
            headers.append(wire.retry_after(refusal.retry_after))
        # A client account over its rate need not keep connections here.
        close = refusal.code is codes.Code.RATE_EXCEEDED
        return pipelined_server.Answer(
            _status(refusal), tuple(headers), b"", close
        )


def _status(refusal: codes.Refusal) -> int:
    """Returns the HTTP status that tells a refusal truthfully."""
    status = codes.TABLE[refusal.code].status
    if refusal.ran is not codes.Ran.NO:
        # 429 and 503 promise that the request has not run.
        return status if status >= 502 and status != 503 else 502
    if refusal.code is codes.Code.SUSPECT_REQUEST:
        # It may be tried again later; a 4xx would say never.
        return 503
    return status
