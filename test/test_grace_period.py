"""Tests of the end of a host's grace period, in which it shuts down."""

import types
import unittest

from gooseberryweir import clock as clocks
from gooseberryweir import front
from gooseberryweir.process.fleet import shutdown as shutdown_module
from test import _front

# A busy or idle process handles a signal some time after it arrived.
NOTICED_AFTER_SECONDS = 1.0


class GracePeriodTest(unittest.TestCase):
    """A host with a request that does not end."""

    # Guards against LOST: the grace period was counted from the moment at which
    # the host noticed the signal, so it could be killed before its own end.
    def test_it_is_counted_from_the_signal(self):
        clock = clocks.ManualClock()
        shutdown = shutdown_module.Shutdown(clock.interface())
        server = types.SimpleNamespace(
            stop_accepting=lambda: None,
            end_busy=lambda: None,
            close_idle=lambda: None,
            has_requests=lambda: True,
            open_requests=1,
        )
        host = front.Host(
            settings=types.SimpleNamespace(
                bounds=types.SimpleNamespace(grace=_front.GRACE_SECONDS)
            ),
            clock=clock.interface(),
            shutdown=shutdown,
            store_cache=None,
            mesh=types.SimpleNamespace(send_now=lambda: None),
            front=server,
            forwarded=None,
            side_servers=(),
            give_up_requests=lambda: None,
        )
        started_at = clock.now
        shutdown.start()
        clock.advance(NOTICED_AFTER_SECONDS)
        front.shut_down(host)
        self.assertLess(clock.now - started_at, _front.GRACE_SECONDS)


if __name__ == "__main__":
    unittest.main()
