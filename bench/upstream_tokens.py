"""Measures what a token for a limited upstream costs its holder.

Usage: python -m bench.upstream_tokens [CALLS]

Prints the CPU time of one call at the host that holds the tokens, without the
link, and the bytes of a call and its reply.
"""

import math
import sys
import time

import msgspec

from gooseberryweir import clock as clocks
from gooseberryweir.process.fleet import peer_calls
from gooseberryweir.process.fleet import upstream_limits
from gooseberryweir.process.fleet import upstream_tokens

DEFAULT_CALLS = 20_000
REGION = "north"
UPSTREAM = "i-0123456789/1790000000000"


def main() -> None:
    """Runs the measurement."""
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_CALLS
    clock = clocks.system_clock()
    sent: list[bytes] = []

    def send(_host: str, message: bytes) -> bool:
        sent.append(message)
        return True

    exchange = peer_calls.PeerCalls(send)
    limits = upstream_limits.UpstreamLimits(clock.monotonic)
    tokens = upstream_tokens.UpstreamTokens(
        limits,
        exchange,
        upstream_tokens.Neighbours(
            host="h1",
            region=REGION,
            token_source=lambda: "h1",
            relay_of=lambda region: None,
            linked=tuple,
            regions=lambda: 1,
            fleet_size=lambda: 82,
        ),
        clock,
    )
    limits.record_answer(UPSTREAM, 4.7, clock.monotonic())
    request = msgspec.msgpack.encode((UPSTREAM, REGION, 4.7, 0.25, False))
    handle = exchange.handlers[upstream_tokens.TOKEN_CALL]
    started_at = time.process_time()
    for _ in range(calls):
        reply = handle("h2", request)
    milliseconds = (time.process_time() - started_at) / calls * 1000
    assert tokens.limits.rate(UPSTREAM) < math.inf
    print(
        f"{milliseconds:.4f} ms a call, {len(request)} bytes out, "
        f"{len(reply)} bytes back"
    )


if __name__ == "__main__":
    main()
