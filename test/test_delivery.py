"""Tests of answers that a caller receives later than the kernel takes them.

The server runs in the test's process. The callers' sockets block, so no task of
the server runs between their calls.
"""

import contextlib
import gc
import socket
import time
import unittest
from unittest import mock
import weakref

import eventlet
from eventlet import greenio
import greenlet

from gooseberryweir.connection import caller_http
from gooseberryweir.connection import caller_server
from gooseberryweir.connection import delivery
from gooseberryweir.connection import pipelined_server
from gooseberryweir.version import traffic

# Largest headers and body in bytes, header timeout and idle timeout in seconds.
LIMITS = traffic.CallerLimits(8192, 8192, 3.0, 0.2)
IDLE_SECONDS = (
    LIMITS.idle_timeout_seconds + pipelined_server.IDLE_MARGIN_SECONDS
)
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSING_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
SMALL_REQUEST = b"GET /small HTTP/1.1\r\nHost: h\r\n\r\n"
SLOW_REQUEST = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
# Less than the host's kernel takes at once, more than the caller's does.
BODY_BYTES = 300_000
# More than the kernel's buffers of a connection hold.
LARGE_BODY_BYTES = 16_000_000
BUFFER_BYTES = 4096
# What a caller sends at a time; all of it is more than the kernel's buffers.
FLOOD_BYTES = 1_000_000
PIECE_BYTES = 64 * 1024
STEP_SECONDS = 0.01
STEPS = 500
# A pause of a caller that has not read its answers.
PAUSE_SECONDS = 1.0


class DeliveryTest(unittest.TestCase):
    """A server whose callers read late."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.records = []
        self.passed_seconds = 0.0
        self.address = ("127.0.0.1", self.free_port())
        self.server = self.stack.enter_context(
            caller_server.Server(
                f"127.0.0.1:{self.address[1]}",
                pipelined_server.Callbacks(
                    self.handle,
                    lambda: LIMITS,
                    lambda: False,
                    now=lambda: time.monotonic() + self.passed_seconds,
                    undelivered=self.records.append,
                ),
            )
        )

    def free_port(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return probe.getsockname()[1]

    def handle(self, message):
        if message.target == "/wait":
            eventlet.sleep(60.0)
        if message.target == "/slow":
            eventlet.sleep(20 * STEP_SECONDS)
            return pipelined_server.Answer(200, (), b"")
        if message.target == "/small":
            eventlet.sleep(2 * STEP_SECONDS)
            return pipelined_server.Answer(200, (), b"")
        size = LARGE_BODY_BYTES if message.target == "/large" else BODY_BYTES
        return pipelined_server.Answer(200, (), bytes(size))

    def connect_only(self, request):
        caller = self.stack.enter_context(socket.socket())
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        caller.settimeout(STEP_SECONDS)
        caller.connect(self.address)
        caller.sendall(request)
        return caller

    def connect(self, request):
        """Returns a caller whose answer the kernel has taken."""
        caller = self.connect_only(request)
        self.wait_until(lambda: self.server.has_answers())
        self.wait_until(lambda: not self.server.open_requests)
        return caller

    def wait_until(self, condition):
        """Lets the server run until a condition holds."""
        for _ in range(STEPS):
            if condition():
                return
            eventlet.sleep(STEP_SECONDS)
        raise AssertionError("not true in time")

    def read(self, caller, size=BODY_BYTES):
        """Reads more than `size` bytes and returns how many."""
        received = 0
        for _ in range(STEPS):
            if received > size:
                break
            eventlet.sleep(0.001)
            with contextlib.suppress(TimeoutError):
                data = caller.recv(65536)
                if not data:
                    break
                received += len(data)
        return received

    # Guards against LOST of issue 38: a relay acknowledges what its caller has
    # not read, so only the caller's close ends a request before its time.
    def test_request_is_open_until_its_caller_closes_the_connection(self):
        caller = self.connect(CLOSING_REQUEST)
        self.assertTrue(self.server.has_requests())
        self.server.close_idle()
        caller.sendall(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.wait_until(lambda: not self.undelivered())
        self.assertTrue(self.server.has_requests())
        self.server.close_idle()
        self.assertEqual(len(self.server.connections), 1)
        caller.close()
        eventlet.sleep(STEP_SECONDS)
        self.assertFalse(self.server.has_requests())
        self.wait_until(lambda: not self.server.connections)
        self.assertEqual(self.records, [])

    def undelivered(self):
        return sum(
            each.delivery.undelivered() for each in self.server.connections
        )

    # Guards against LOST of issue 43: without a stop, a caller that was silent
    # for a second behind the last answer was taken to have read it.
    def test_connection_of_a_silent_caller_lasts_until_the_bound(self):
        caller = self.connect(CLOSING_REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.wait_until(lambda: not self.undelivered())
        eventlet.sleep(PAUSE_SECONDS + 2 * delivery.CHECK_SECONDS)
        self.assertTrue(self.server.has_requests())
        self.assertEqual(len(self.server.connections), 1)
        self.passed_seconds += delivery.MAX_DELIVERY_SECONDS
        self.assertFalse(self.server.has_requests())

    # Guards against the same where the connection was idle.
    def test_idle_connection_lasts_until_its_caller_closes_it(self):
        caller = self.connect(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        eventlet.sleep(IDLE_SECONDS + STEP_SECONDS)
        self.assertEqual(caller.recv(1), b"")
        # Callers that pool connections notice the end at their next use, and
        # hold no stop until then.
        self.assertFalse(self.server.has_requests())
        caller.sendall(REQUEST)
        eventlet.sleep(STEP_SECONDS)
        caller.sendall(REQUEST)
        self.assertEqual(len(self.server.connections), 1)
        caller.close()
        self.wait_until(lambda: not self.server.connections)

    def test_idle_connection_without_a_request_ends_at_once(self):
        self.connect_only(b"")
        self.wait_until(lambda: self.server.connections)
        eventlet.sleep(IDLE_SECONDS + STEP_SECONDS)
        self.assertFalse(self.server.connections)

    # Guards against LOST of issue 39: a caller that reads the last answer of a
    # stop slowly from a relay, and sends nothing meanwhile, was reset.
    def test_stop_waits_for_the_close_of_a_silent_caller(self):
        self.server.callbacks = self.server.callbacks._replace(
            shutting_down=lambda: True
        )
        caller = self.connect(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.wait_until(lambda: not self.undelivered())
        eventlet.sleep(PAUSE_SECONDS + 2 * delivery.CHECK_SECONDS)
        self.assertTrue(self.server.has_requests())
        caller.close()
        eventlet.sleep(STEP_SECONDS)
        self.assertFalse(self.server.has_requests())
        self.limit_linger(PAUSE_SECONDS)
        caller = self.connect(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.wait_until(lambda: not self.undelivered())
        self.assertTrue(self.server.has_requests())
        self.wait_until(lambda: not self.server.has_requests())
        self.wait_until(lambda: not self.server.connections)

    def limit_linger(self, seconds):
        """Shortens the time for which connections linger."""
        self.enterContext(
            mock.patch.object(delivery, "MAX_DELIVERY_SECONDS", seconds)
        )

    def test_caller_that_only_sends_on_is_left_at_the_bound(self):
        self.limit_linger(3 * PAUSE_SECONDS)
        caller = self.connect(CLOSING_REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        for _ in range(4):
            eventlet.sleep(PAUSE_SECONDS / 2)
            caller.sendall(REQUEST)
            self.assertTrue(self.server.has_requests())
        self.wait_until(lambda: not self.server.has_requests())
        self.wait_until(lambda: not self.server.connections)

    # Guards against the same on a busy host, which had not read what its caller
    # sent on.
    def test_input_that_a_busy_host_has_not_read_keeps_the_connection(self):
        limits = LIMITS._replace(idle_timeout_seconds=15.0)
        self.server.callbacks = self.server.callbacks._replace(
            limits=lambda: limits
        )
        caller = self.connect(CLOSING_REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.wait_until(lambda: not self.undelivered())
        self.keep_busy(
            PAUSE_SECONDS + delivery.CHECK_SECONDS,
            lambda: caller.sendall(REQUEST),
        )
        self.assertTrue(self.server.has_requests())
        eventlet.sleep(STEP_SECONDS)
        self.assertEqual(len(self.server.connections), 1)

    # Guards against an answer whose sending waits without end for a caller that
    # does not read.
    def test_answer_that_the_kernel_does_not_take_ends_the_connection(self):
        seconds = 5 * STEP_SECONDS
        with mock.patch.object(delivery, "MAX_DELIVERY_SECONDS", seconds):
            self.connect_only(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
            self.wait_until(lambda: self.records)
        self.wait_until(lambda: not self.server.connections)
        self.assertEqual([each.reason for each in self.records], ["not-taken"])
        self.assertGreater(self.records[0].size, 0)

    # Guards against closed connections that stay in memory until a garbage
    # collection or the end of the linger, and cost processor time then.
    def test_connection_is_freed_once_its_caller_has_closed_it(self):
        gc.disable()
        self.addCleanup(gc.enable)
        for request in (REQUEST, CLOSING_REQUEST):
            with self.subTest(request):
                caller = self.connect(request)
                freed = weakref.ref(next(iter(self.server.connections)))
                self.assertGreater(self.read(caller), BODY_BYTES)
                caller.close()
                self.wait_until(lambda: not self.server.connections)
                eventlet.sleep(STEP_SECONDS)
                self.assertIsNone(freed())

    # Guards against LOST of issue 35: a closing connection was ended by the
    # idle timeout or a fixed time, before its caller had the answer.
    def test_closing_connection_outlives_the_idle_timeout(self):
        caller = self.connect(CLOSING_REQUEST)
        for _ in range(4):
            eventlet.sleep(max(IDLE_SECONDS, PAUSE_SECONDS) / 2)
            caller.sendall(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.assertEqual(self.records, [])

    # Guards against the same where the connection is kept.
    def test_idle_connection_is_kept_until_its_answer_is_delivered(self):
        caller = self.connect(REQUEST)
        eventlet.sleep(IDLE_SECONDS + 0.2)
        caller.sendall(REQUEST)
        eventlet.sleep(STEP_SECONDS)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.assertEqual(self.records, [])

    def keep_busy(self, seconds, begin):
        """Blocks the server from a task that input wakes.

        What arrives meanwhile is read after the timers that are due.

        Args:
            seconds: Time for which no other task runs.
            begin: Called before that.
        """
        ends = [self.stack.enter_context(each) for each in socket.socketpair()]

        def block():
            greenio.GreenSocket(ends[0]).recv(1)
            begin()
            time.sleep(seconds)

        task = eventlet.spawn(block)
        eventlet.sleep(STEP_SECONDS)
        ends[1].send(b"-")
        task.wait()

    # Guards against a reset in place of an answer: a busy host closed a
    # connection as idle although the next request had arrived.
    def test_request_that_arrived_in_time_is_served_by_a_busy_host(self):
        caller = self.connect_only(SMALL_REQUEST)
        eventlet.sleep(10 * STEP_SECONDS)
        self.assertIn(b"200", caller.recv(1000))
        eventlet.sleep(IDLE_SECONDS / 2)
        self.keep_busy(IDLE_SECONDS, lambda: caller.sendall(SMALL_REQUEST))
        eventlet.sleep(10 * STEP_SECONDS)
        self.assertIn(b"200", caller.recv(1000))

    # Guards against the same while the kernel can't take the whole answer.
    def test_sending_outlives_the_idle_timeout(self):
        caller = self.connect_only(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
        eventlet.sleep(IDLE_SECONDS + 0.2)
        self.assertEqual(self.server.open_requests, 1)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.assertGreater(
            self.read(caller, LARGE_BODY_BYTES), LARGE_BODY_BYTES
        )
        self.assertEqual(self.records, [])

    # Guards against a host whose memory is held by callers that do not read.
    def test_most_waiting_bytes_are_given_up_for_other_callers(self):
        budget = self.server.budget
        budget.max_total_bytes = LARGE_BODY_BYTES + BODY_BYTES // 2
        self.connect_only(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
        self.wait_until(lambda: budget.total == LARGE_BODY_BYTES)
        caller = self.connect_only(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        (record,) = self.records
        self.assertEqual(record.reason, "too-many-bytes")
        self.assertGreater(record.size, LARGE_BODY_BYTES // 2)
        self.wait_until(lambda: len(self.server.connections) == 1)
        self.assertEqual(budget.total, 0)

    # Guards against a host whose connections are held by such callers.
    def test_closing_connections_are_limited(self):
        self.enterContext(
            mock.patch.object(caller_server, "MAX_CLOSING_CONNECTIONS", 2)
        )
        callers = [self.connect(CLOSING_REQUEST) for _ in range(3)]
        self.wait_until(lambda: len(self.server.connections) == 2)
        (record,) = self.records
        self.assertEqual(record.reason, "too-many-closing")
        for caller in callers[1:]:
            self.assertGreater(self.read(caller), BODY_BYTES)
        self.assertEqual(len(self.records), 1)

    def test_caller_that_never_reads_is_left_at_the_bound(self):
        self.limit_linger(2 * PAUSE_SECONDS)
        self.connect(CLOSING_REQUEST)
        eventlet.sleep(PAUSE_SECONDS + delivery.CHECK_SECONDS)
        self.assertEqual(len(self.server.connections), 1)
        self.wait_until(lambda: not self.server.connections)
        (record,) = self.records
        self.assertEqual(record.reason, "time-over")
        self.assertEqual(record.request.target, "/a")
        self.assertGreater(record.size, BODY_BYTES // 2)

    def test_end_of_the_server_records_what_is_cut_off(self):
        self.connect(REQUEST)
        self.server.__exit__()
        (record,) = self.records
        self.assertEqual(record.reason, "server-end")
        self.assertGreater(record.size, BODY_BYTES // 2)

    # Guards against lost answers that no log shows: the kernel has an
    # acknowledgement of all bytes, and the caller sends on.
    def test_end_of_the_server_records_a_caller_that_sends_on(self):
        caller = self.connect(CLOSING_REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.wait_until(lambda: not self.undelivered())
        caller.sendall(REQUEST)
        eventlet.sleep(STEP_SECONDS)
        self.server.__exit__()
        (record,) = self.records
        self.assertEqual(
            (record.size, record.reason, record.discarded),
            (0, "server-end", len(REQUEST)),
        )

    def test_caller_that_resets_the_connection_is_left_at_once(self):
        caller = self.connect(CLOSING_REQUEST)
        caller.close()
        eventlet.sleep(STEP_SECONDS)
        self.assertFalse(self.server.has_requests())
        self.wait_until(lambda: not self.server.connections)
        self.assertEqual(self.records, [])

    def test_decided_answer_reaches_a_caller_that_sends_no_more(self):
        caller = self.connect(REQUEST)
        caller.sendall(REQUEST + b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
        self.wait_until(lambda: self.server.open_requests == 1)
        caller.shutdown(socket.SHUT_WR)
        # What is not decided is dropped, as if the caller had left.
        self.wait_until(lambda: self.server.open_requests == 0)
        self.assertGreater(self.read(caller, 2 * BODY_BYTES), 2 * BODY_BYTES)
        self.wait_until(lambda: not self.server.connections)
        self.assertEqual(self.records, [])

    # Guards against GONE: the requests of a caller that had left went on while
    # other tasks of a busy host ran.
    def test_request_of_a_caller_that_left_is_cancelled_at_once(self):
        order = []
        receive = pipelined_server.Connection._receive

        def receive_and_record(connection):
            data = receive(connection)
            order.append("received" if data else "left")
            return data

        def run_others():
            while True:
                order.append("other task")
                eventlet.sleep(0)

        def handle_and_record(_message):
            try:
                eventlet.sleep(60.0)
            finally:
                order.append("cancelled")

        self.stack.enter_context(
            mock.patch.object(
                pipelined_server.Connection, "_receive", receive_and_record
            )
        )
        self.stack.enter_context(
            mock.patch.object(
                self.server,
                "callbacks",
                self.server.callbacks._replace(handle=handle_and_record),
            )
        )
        caller = self.connect_only(REQUEST)
        self.wait_until(lambda: self.server.open_requests)
        eventlet.sleep(STEP_SECONDS)
        others = eventlet.spawn(run_others)
        self.stack.callback(others.kill)
        caller.close()
        self.wait_until(lambda: "cancelled" in order)
        self.assertEqual(order[order.index("left") + 1], "cancelled")
        self.wait_until(lambda: not self.server.connections)

    def test_unknown_state_of_the_kernel_means_the_fixed_time(self):
        with mock.patch.object(
            delivery.fcntl, "ioctl", side_effect=OSError("not known")
        ):
            self.connect_only(CLOSING_REQUEST)
            self.wait_until(lambda: self.server.closing)
            self.assertTrue(self.server.has_requests())
            self.assertTrue(self.server.has_answers())
            self.passed_seconds += delivery.ASSUMED_DELIVERY_SECONDS
            self.assertFalse(self.server.has_answers())
            self.assertTrue(self.server.has_requests())
            self.passed_seconds += delivery.MAX_DELIVERY_SECONDS
            self.assertFalse(self.server.has_requests())
        self.assertEqual(self.records, [])

    # Guards against a stop that lasts as long as callers go on: one that sends
    # its next request before the answer always had one open.
    def test_busy_callers_do_not_delay_the_end(self):
        caller = self.connect_only(SMALL_REQUEST)
        self.wait_until(lambda: self.server.open_requests)
        self.server.stop_reading()

        def ended():
            caller.sendall(SMALL_REQUEST)
            return not self.server.has_answers()

        self.wait_until(ended)

    # Guards against LOST of issue 38: of a caller that had sent much behind the
    # last answer no more was read, and the unread input reset the connection.
    def test_caller_that_sends_much_behind_the_end_is_not_reset(self):
        self.send_much(self.connect(CLOSING_REQUEST))
        self.assertEqual(len(self.server.connections), 1)

    def send_much(self, caller):
        """Reads an answer and sends on for two linger times."""
        self.assertGreater(self.read(caller), BODY_BYTES)
        for _ in range(2 * delivery.MAX_UNPACED_BYTES // PIECE_BYTES):
            caller.sendall(bytes(PIECE_BYTES))
            eventlet.sleep(STEP_SECONDS)
        for _ in range(5):
            eventlet.sleep(PAUSE_SECONDS / 2)
            caller.sendall(REQUEST)

    # Guards against LOST of issue 38: callers that always had a request open
    # got no answer that closes, and held a stop until the process was killed.
    def test_busy_connections_end_after_the_requests_received(self):
        self.server.callbacks = self.server.callbacks._replace(
            shutting_down=lambda: True
        )
        caller = self.connect_only(SLOW_REQUEST)
        self.wait_until(lambda: self.server.open_requests)
        (connection,) = self.server.connections
        for _ in range(20):
            caller.sendall(SLOW_REQUEST)
            eventlet.sleep(STEP_SECONDS)
        self.assertFalse(connection.closing)
        self.server.end_busy()

        def closing():
            caller.sendall(SLOW_REQUEST)
            return connection.closing

        self.wait_until(closing)
        answers = b""
        while b"Connection: close" not in answers:
            eventlet.sleep(STEP_SECONDS)
            answers += caller.recv(65536)
        self.assertEqual(answers.count(b"Connection: close"), 1)
        caller.close()
        self.wait_until(lambda: not self.server.has_requests())

    # Guards against a core spent on a caller that floods a closing connection.
    def test_input_of_a_closing_connection_is_limited(self):
        caller = self.connect(CLOSING_REQUEST)
        caller.setblocking(False)
        sent = 0
        for _ in range(STEPS):
            with contextlib.suppress(BlockingIOError):
                sent += caller.send(bytes(FLOOD_BYTES))
            eventlet.sleep(STEP_SECONDS / 10)
        self.assertLess(sent, STEPS * FLOOD_BYTES / 10)

    def start_serve(self, shutting_down=False):
        """Starts a server as in `serve` and returns its task."""
        self.run_count = 0
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = listener.getsockname()

        def application(_environ, start_response):
            self.run_count += 1
            start_response("200 OK", [("Content-Length", str(BODY_BYTES))])
            return [bytes(BODY_BYTES)]

        task = eventlet.spawn(
            caller_http.serve,
            listener,
            application,
            eventlet.GreenPool(4),
            8192,
            lambda: shutting_down,
        )
        self.stack.callback(task.kill)
        return task

    # Guards against the same for the answers of `serve`.
    def test_answer_of_serve_reaches_a_caller_that_sends_on(self):
        self.start_serve()
        caller = self.connect_only(CLOSING_REQUEST)
        for _ in range(4):
            eventlet.sleep(PAUSE_SECONDS / 2)
            caller.sendall(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)

    # Guards against the same in `serve`, whose callers lost early refusals.
    def test_caller_of_serve_that_sends_much_is_not_reset(self):
        self.start_serve()
        self.send_much(self.connect_only(CLOSING_REQUEST))

    # Guards against LOST of issue 38 in `serve`: in a stop, a connection ended
    # once the next kernel had the answer, and a caller that sent on was reset.
    def test_caller_of_serve_may_send_on_in_a_stop(self):
        self.start_serve(shutting_down=True)
        caller = self.connect_only(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        for _ in range(4):
            eventlet.sleep(PAUSE_SECONDS / 2)
            caller.sendall(REQUEST)

    # Guards against the same where `serve` stops and takes the connection for
    # idle.
    def test_answer_of_serve_is_delivered_when_it_stops(self):
        task = self.start_serve()
        caller = self.connect_only(REQUEST)
        eventlet.sleep(10 * STEP_SECONDS)
        eventlet.spawn(task.kill)
        eventlet.sleep(10 * STEP_SECONDS)
        caller.sendall(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)

    # Guards against the same where the next kernel has the answer, and may be
    # that of a relay.
    def test_caller_of_kept_connection_may_send_on_when_serve_stops(self):
        task = self.start_serve()
        caller = self.connect_only(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        eventlet.spawn(task.kill)
        for _ in range(4):
            eventlet.sleep(PAUSE_SECONDS / 2)
            caller.sendall(REQUEST)

    # Guards against LOST of issue 35: a request that had arrived on an idle
    # connection when `serve` stopped ran, and its answer could not be sent.
    def test_request_that_arrived_when_serve_stops_is_answered(self):
        task = self.start_serve()
        caller = self.connect_only(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        eventlet.sleep(STEP_SECONDS)
        caller.sendall(REQUEST)
        task.kill()
        self.assertGreater(self.read(caller), BODY_BYTES)
        self.assertEqual(self.run_count, 2)
        caller.close()
        with eventlet.Timeout(PAUSE_SECONDS):
            self.wait_for_end(task)

    # Guards against a stop that lasts longer for kept connections in calm.
    def test_idle_connections_do_not_delay_the_stop_of_serve(self):
        task = self.start_serve()
        self.connect_only(b"")
        caller = self.connect_only(REQUEST)
        self.assertGreater(self.read(caller), BODY_BYTES)
        eventlet.sleep(PAUSE_SECONDS + STEP_SECONDS)
        self.connect_only(b"")
        eventlet.sleep(STEP_SECONDS)
        eventlet.spawn(task.kill)
        with eventlet.Timeout(PAUSE_SECONDS / 2):
            self.wait_for_end(task)

    def wait_for_end(self, task):
        with contextlib.suppress(greenlet.GreenletExit):
            task.wait()


if __name__ == "__main__":
    unittest.main()
