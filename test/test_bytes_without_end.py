"""Tests of a host beside upstreams and callers that send without end.

The upstreams are processes of their own, which send as fast as the kernel takes
the bytes; one in the process of the callers is too slow to fill a host.
"""

import collections
import contextlib
import pathlib
import signal
import tempfile
import threading
import time
import tracemalloc
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from gooseberryweir import clock as clocks
from gooseberryweir.connection import http_messages
from gooseberryweir.platform import store as platform_store
from test import _common
from test import _front
from test import _raw
from test.standins import endless_upstream
from test.test_endless_answers import HOST_MEMORY_BYTES
from test.test_endless_answers import peak_memory

UPSTREAMS = 4
UPSTREAM_SLOTS = 100
# Requests without end at the same time.
REQUESTS = 48
MANY_REQUESTS = 300
MANY_KINDS = ("body", "length", "chunks-1", "head")
# Callers beside a sound one, and the answers that it wants meanwhile.
CALLERS = 12
SOUND_REQUESTS = 40
MAX_ATTEMPTS = _front.configuration()["routes"]["read"]["maxAttempts"]
# Uploads in tiny chunks at the same time, and the size of their content, which
# the configuration allows.
UPLOADS = 48
UPLOAD_BYTES = 99_000
# Answers that take a host the most time, and look-ups at another host beside
# them: for longer than it lists a host whose heartbeats have stopped.
SLOWEST_KINDS = ("interim", "chunks-2")
LOOK_UPS = 8
LOOK_UP_SECONDS = 0.5

# Limits of the readers, and what one may hold beside the bytes that they allow:
# a head of many headers, and the unused end of a growing buffer.
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 100_000
HEAD_MEMORY_BYTES = 400_000
BUFFER_SHARE = 1.3
REQUEST = b"POST / HTTP/1.1\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n"
ENDLESS = (*endless_upstream.ANSWERS.values(), (b"", b"HTTP/1.1 103 E\r\n\r\n"))


def upload_head(path="/read/upload"):
    """Returns the head of a request whose body comes in chunks."""
    return _front.request_bytes(
        path, method="POST", Transfer_Encoding="chunked"
    )


class EndlessCase(unittest.TestCase):
    """Base of tests of a host whose upstreams answer some without end."""

    HOSTS = 1

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        directory = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.system = _front.System(self.stack, hosts=self.HOSTS, upstreams=1)
        self.host = self.system.hosts[0]
        self.upstreams = [
            self.stack.enter_context(
                _common.Process(
                    directory, f"endless-{i}", "test.standins.endless_upstream"
                )
            )
            for i in range(UPSTREAMS)
        ]
        (only,) = self.system.upstreams
        for each in self.upstreams:
            entry = only.entry(
                address=each.wait_ready().address(), slots=UPSTREAM_SLOTS
            )
            self.system.store.put("servers", each.name, entry)
        self.system.store.delete("servers", only.name)
        _common.wait_until(
            lambda: not self.call("/read/first").headers.get("server-stamp"),
            description="the upstreams without end are in use",
        )

    def call(self, path, **headers):
        return _front.call(self.host.address, path, **headers)

    def endless_answers(self):
        """Returns how many answers the upstreams have sent without end."""
        return sum(
            _common.fetch_json(each.url("/_control"))["answers"]
            for each in self.upstreams
        )

    def sent_requests(self):
        """Returns how many requests upstreams got, by the id of the request."""
        sent = collections.Counter()
        for each in self.upstreams:
            sent.update(_common.fetch_json(each.url("/_control"))["requests"])
        return sent

    @contextlib.contextmanager
    def callers_beside(self, call):
        """Repeats a call in many threads until the context ends."""
        ended = threading.Event()

        def repeat(number):
            while not ended.is_set():
                with contextlib.suppress(OSError):
                    call(number)

        threads = [
            threading.Thread(target=repeat, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            ended.set()
            for thread in threads:
                thread.join()


class BytesWithoutEndTest(EndlessCase):
    """What such answers cost the host and its other callers."""

    def call_concurrently(self, kind, count):
        """Returns the statuses of requests sent at the same time."""
        statuses = []

        def call(number):
            answer = self.call(
                f"/read/{number}/{kind}", request_id=f"{kind}-{number}"
            )
            statuses.append(answer.status)

        threads = [
            threading.Thread(target=call, args=(number,))
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def failed_sound_requests(self, kind):
        """Sends requests to be answered beside those of a kind.

        Returns:
            Number, status and the host's log lines of each that failed.
        """
        failed = []
        for number in range(SOUND_REQUESTS):
            request_id = f"sound-{kind}-{number}"
            answer = self.call(f"/read/sound-{number}", request_id=request_id)
            if answer.status != 200:
                word = f"request={request_id}"
                lines = [
                    line
                    for line in self.host.log_lines(word)
                    if word in line.split()
                ]
                failed.append((number, answer.status, lines))
        return failed

    # Guards against a host that runs out of memory, since answers that were
    # given up stay in it, or many small pieces cost more than their content.
    def test_answers_without_end_keep_memory_bounded(self):
        rounds = [(kind, REQUESTS) for kind in endless_upstream.KINDS]
        rounds += [(kind, MANY_REQUESTS) for kind in MANY_KINDS]
        for kind, count in rounds:
            statuses = self.call_concurrently(kind, count)
            self.assertEqual(len(statuses), count)
            self.assertNotIn(200, statuses)
            self.assertLess(
                peak_memory(self.host.process),
                HOST_MEMORY_BYTES,
                f"{count} times {kind}",
            )

    # Guards against a host whose other requests, look-ups and signals wait
    # while it reads answers, or whose upstreams are all ejected for them.
    def test_sound_requests_are_answered_beside_answers_without_end(self):
        for kind in endless_upstream.KINDS:
            before = self.endless_answers()
            with self.callers_beside(
                lambda number, kind=kind: self.call(f"/read/{number}/{kind}")
            ):
                _common.wait_until(
                    lambda before=before: self.endless_answers() > before,
                    description=f"an answer of {kind} was ended",
                )
                failed = self.failed_sound_requests(kind)
            self.assertEqual(failed, [], kind)

    # Guards against a request that runs twice since its answer never ended.
    def test_requests_that_may_not_repeat_are_sent_once(self):
        for kind in endless_upstream.KINDS:
            before = self.endless_answers()
            answer = self.call(
                f"/write/x/{kind}", method="POST", request_id=f"write-{kind}"
            )
            self.assertIn(answer.status, (502, 504), kind)
            _common.wait_until(
                lambda before=before: self.endless_answers() > before,
                description=f"an answer of {kind} was ended",
            )
            self.call(f"/read/x/{kind}", request_id=f"read-{kind}")
        sent = self.sent_requests()
        for kind in endless_upstream.KINDS:
            self.assertEqual(sent[f"write-{kind}"], 1, kind)
            self.assertLessEqual(sent[f"read-{kind}"], MAX_ATTEMPTS, kind)

    # Guards against callers that keep a host from all others with one body
    # each, whose chunks cost far more work than their content.
    def test_callers_with_tiny_chunks_keep_nobody_waiting(self):
        statuses = []

        def upload(number):
            size = 1 + number % 2
            chunk = b"%x\r\n%s\r\n" % (size, b"u" * size)
            with _raw.Connection(self.host.address) as connection:
                connection.send(upload_head(), chunk * (UPLOAD_BYTES // size))
                statuses.append(connection.read_answer().status)

        with self.callers_beside(upload):
            failed = self.failed_sound_requests("tiny-chunks")
        self.assertEqual(failed, [])
        self.assertEqual(set(statuses), {413})


class PeersTest(EndlessCase):
    """What the other hosts and the platform see of such a host."""

    HOSTS = 2

    # Guards against heartbeats and a SIGTERM that wait while the host reads
    # answers: others take it for gone, and it is killed in its planned stop.
    def test_host_stays_listed_and_stops_in_time(self):
        peer = self.system.hosts[1]
        for kind in SLOWEST_KINDS:
            with self.callers_beside(
                lambda number, kind=kind: self.call(f"/read/{number}/{kind}")
            ):
                listed = []
                for _ in range(LOOK_UPS):
                    time.sleep(LOOK_UP_SECONDS)
                    answer = _front.look_up(
                        peer, self.host.region, self.host.zone
                    )
                    listed.append(self.host.address in answer.body.decode())
                self.assertEqual(listed, [True] * LOOK_UPS, kind)
        with self.callers_beside(
            lambda number: self.call(f"/read/{number}/{SLOWEST_KINDS[0]}")
        ):
            time.sleep(LOOK_UP_SECONDS)
            self.host.process.send_signal(signal.SIGTERM)
            self.assertEqual(self.host.process.wait(_front.GRACE_SECONDS), 0)


class StoreTest(unittest.TestCase):
    """The client of a store that answers without end."""

    # Guards against a store, or what answers at its address, that fills the
    # memory of all hosts.
    def test_answers_without_end_are_given_up(self):
        stack = self.enterContext(contextlib.ExitStack())
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        server = stack.enter_context(
            _common.Process(
                directory, "endless", "test.standins.endless_upstream"
            )
        ).wait_ready()
        store = stack.enter_context(
            platform_store.Store(
                server.url(), clocks.ManualClock().interface(), "c1"
            )
        )
        for kind in ("body", "length", "chunks"):
            with (
                self.subTest(kind),
                self.assertRaises(platform_store.StoreError),
            ):
                store.list(kind)


def readers():
    """Returns new readers of requests and answers, with their first line."""
    return (
        (
            http_messages.RequestReader(MAX_HEADER_BYTES, MAX_BODY_BYTES),
            REQUEST,
        ),
        (
            http_messages.AnswerReader(MAX_HEADER_BYTES, MAX_BODY_BYTES, "GET"),
            ANSWER,
        ),
    )


class ReaderTest(unittest.TestCase):
    """What a reader holds of bytes without end, and that it ends them."""

    # Guards against pieces that are objects many times their size.
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.sampled_from(ENDLESS),
        strategies.integers(1, 64 * 1024),
        strategies.integers(0, 1),
    )
    def test_memory_is_bounded_by_content(self, endless, cut, reader_index):
        begin, piece = endless
        reader, first_line = readers()[reader_index]
        data = first_line + begin + piece * (2_000_000 // len(piece))
        segments = [
            data[start : start + cut] for start in range(0, len(data), cut)
        ][:40_000]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with contextlib.suppress(http_messages.MessageError):
            for segment in segments:
                reader.feed(segment)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        allowed = MAX_BODY_BYTES * BUFFER_SHARE + 3 * cut + HEAD_MEMORY_BYTES
        self.assertLess(peak, allowed)

    def test_every_kind_is_ended(self):
        for begin, piece in ENDLESS:
            for reader, first_line in readers():
                with (
                    self.subTest(reader=reader, piece=piece[:20]),
                    self.assertRaises(http_messages.MessageError),
                ):
                    reader.feed(first_line + begin)
                    for _ in range(200):
                        reader.feed(piece * (65536 // len(piece)))

    # Guards against an answer to HEAD that is read line by line without end.
    def test_empty_lines_before_an_answer_to_head_cost_no_work(self):
        reader = http_messages.AnswerReader(
            MAX_HEADER_BYTES, MAX_BODY_BYTES, "HEAD"
        )
        with mock.patch.object(reader, "parser", wraps=reader.parser) as parser:
            reader.feed(b"\r\n" * 30_000)
        self.assertLess(parser.feed_data.call_count, 2)

    # Guards against limits that refuse sound messages in small pieces.
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.integers(1, 4000),
        strategies.integers(1, 5000),
        strategies.integers(1, 5000),
    )
    def test_small_chunks_pass(self, size, chunk, cut):
        body = b"b" * size
        for reader, first_line in readers():
            data = (
                first_line
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + _raw.chunked(body, chunk)
            )
            completed = [
                message
                for start in range(0, len(data), cut)
                for message in reader.feed(data[start : start + cut])
            ]
            self.assertEqual([each.body for each in completed], [body])


if __name__ == "__main__":
    unittest.main()
