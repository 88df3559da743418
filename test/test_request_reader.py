"""Tests that the cutting of a caller's bytes into segments changes nothing.

The same bytes, cut at any place, give the same requests, answers and errors in
the same order.
"""

import contextlib
import itertools
import socket
import unittest
from unittest import mock

import eventlet
import hypothesis
from hypothesis import strategies

from gooseberryweir.connection import caller_server
from gooseberryweir.connection import http_messages
from gooseberryweir.connection import pipelined_server
from gooseberryweir.version import traffic

MAX_HEADER_BYTES = 200
MAX_BODY_BYTES = 60
MAX_UNCOUNTED_BYTES = 40
LIMITS = traffic.CallerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, 3.0, 15.0)
# Longest wait for an answer; far above what is needed.
ANSWER_TIMEOUT_SECONDS = 20.0
# Pause between segments, in which the server reads the one sent before.
SEGMENT_PAUSE_SECONDS = 0.002
# Time in which an answer that must not come would have come.
SETTLE_SECONDS = 0.02
# Time within which callers may use a connection again.
IDLE_SECONDS = 3.0
HANDLING_SECONDS = 0.004
GET = b"GET / HTTP/1.1\r\n"
POST = b"POST / HTTP/1.1\r\n"
LENGTH = b"Content-Length: 1\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n"
CHUNKED_HEAD = POST + CHUNKS + b"\r\n"
LONG = b"a" * 300
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
GET_WAIT = b"GET /wait HTTP/1.1\r\n\r\n"
EXPECT = b"POST /b HTTP/1.1\r\nExpect: 100-continue\r\n"
EXPECT_LENGTH = EXPECT + b"Content-Length: 5\r\n\r\n"
EXPECT_CHUNKS = EXPECT + CHUNKS + b"\r\n"
# Name of the case, malformed or too large input, status of its answer. Where
# input is both, what comes first in it decides.
ERRORS = (
    ("no request line", b"GET nonsense\r\n\r\n", 400),
    ("bytes", b"\x00\x16\x03\x01", 400),
    ("no colon", GET + b"X 1\r\n\r\n", 400),
    ("bare LF", b"GET / HTTP/1.1\nHost: h\n\n", 400),
    ("upgrade", GET + b"Upgrade: a\r\nConnection: upgrade\r\n\r\n", 400),
    ("connect", b"CONNECT h:1 HTTP/1.1\r\n\r\n", 400),
    ("long header", GET + b"X: " + LONG + b"\r\n\r\n", 431),
    ("long name", GET + LONG + b": 1\r\n\r\n", 431),
    ("long target", b"GET /" + LONG + b" HTTP/1.1\r\n\r\n", 431),
    ("many headers", GET + b"a:\r\n" * 50 + b"\r\n", 431),
    ("line without end", GET + b"X: " + LONG, 431),
    ("spaces without end", GET + b"X: " + b" " * 300, 431),
    ("long, no colon", GET + b"X: " + LONG[:199] + b"\r\nY 1\r\n\r\n", 431),
    ("long target, NUL", b"GET /" + LONG + b"\0 HTTP/1.1\r\n\r\n", 431),
    ("NUL, long header", GET + b"X: a\0" + LONG + b"\r\n\r\n", 400),
    ("large body", POST + b"Content-Length: 61\r\n\r\n" + LONG[:61], 413),
    ("large chunks", CHUNKED_HEAD + (b"1e\r\n" + LONG[:30] + b"\r\n") * 3, 413),
    ("large chunk", CHUNKED_HEAD + b"12c\r\n" + LONG + b"\r\n", 413),
    ("both lengths", POST + LENGTH + CHUNKS + b"\r\n", 400),
    ("both lengths, reversed", POST + CHUNKS + LENGTH + b"\r\n", 400),
    ("two lengths", POST + LENGTH + LENGTH + b"\r\n", 400),
    ("chunk size", CHUNKED_HEAD + b"-5\r\nhello\r\n0\r\n\r\n", 400),
    ("chunk too long", CHUNKED_HEAD + b"5\r\nhelloXX\r\n0\r\n\r\n", 400),
    ("long extension", CHUNKED_HEAD + b"5;" + LONG + b"\r\nhello\r\n", 431),
    ("long trailer", CHUNKED_HEAD + b"0\r\nX: " + LONG + b"\r\n\r\n", 431),
    ("trailer without end", CHUNKED_HEAD + b"0\r\nX: " + LONG, 431),
    (
        "trailers, no colon",
        CHUNKED_HEAD + b"0\r\nX: " + LONG[:190] + b"\r\nY 1\r\n\r\n",
        431,
    ),
)
ERRORS_ON_THE_WIRE = (
    "no request line",
    "long header",
    "large body",
    "both lengths",
    "chunk size",
)


def chunked(body):
    """Returns a body in chunks, with an extension and a trailer."""
    chunks = (body[:3], body[3:])
    lines = [
        f"{len(each):X};e\r\n".encode() + each + b"\r\n"
        for each in chunks
        if each
    ]
    return b"".join([*lines, b"0\r\nT: 1\r\n\r\n"])


def request(method, target, body, framing, close):
    """Returns a sound request as it is sent, and as it is to be read."""
    lines = [f"{method} {target} HTTP/1.1", "Host: h"]
    if close:
        lines.append("Connection: close")
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
    head = "\r\n".join([*lines, "", ""]).encode()
    if framing == "none":
        return head, (method, target, b"", not close)
    sent = chunked(body) if framing == "chunks" else body
    return head + sent, (method, target, body, not close)


SOUND_REQUESTS = strategies.builds(
    request,
    strategies.sampled_from(("GET", "HEAD", "POST", "DELETE")),
    strategies.sampled_from(("/", "/a?b", "/slow")),
    strategies.one_of(
        strategies.binary(max_size=12),
        # Bytes that look like the end of a head, a chunk or a request.
        strategies.sampled_from((b"\r\n\r\n", b"0\r\n\r\nGET / ", b"\n\r\n\n")),
    ),
    strategies.sampled_from(("none", "length", "chunks")),
    strategies.booleans(),
)


def read(segments):
    """Returns the requests in the segments, and the status of an error."""
    reader = http_messages.RequestReader(MAX_HEADER_BYTES, MAX_BODY_BYTES)
    requests, status = [], None
    for segment in segments:
        try:
            completed = reader.feed(segment)
        except http_messages.MessageError as error:
            completed, status = error.completed, error.status
        requests += [
            (each.method, each.target, each.body, each.keep_alive)
            for each in completed
        ]
    return requests, status


def cut(data, *positions):
    """Returns the data in segments, cut at some positions."""
    edges = itertools.pairwise((0, *positions, len(data)))
    return [data[start:end] for start, end in edges if start < end]


class RequestReaderTest(unittest.TestCase):
    """Requests and errors in bytes that are cut in all ways."""

    def setUp(self):
        self.enterContext(
            mock.patch.object(
                http_messages, "MAX_UNCOUNTED_BYTES", MAX_UNCOUNTED_BYTES
            )
        )

    def check_all_cuts(self, data, expected):
        """Checks what is read from data in one, two and many segments."""
        self.assertEqual(read([data]), expected)
        for position in range(1, len(data)):
            self.assertEqual(read(cut(data, position)), expected, position)
        self.assertEqual(read(cut(data, *range(1, len(data)))), expected)

    # Guards against a sound request that is not run, and an error in its place,
    # since malformed input follows it in the same segment.
    def test_requests_before_an_error_are_read(self):
        head, expected = request("POST", "/a", b"ab\r\n\r\nc", "length", False)
        other, other_expected = request("PUT", "/b", b"abcde", "chunks", False)
        for name, malformed, status in ERRORS:
            with self.subTest(name):
                self.check_all_cuts(
                    b"\r\n" + head + other + malformed,
                    ([expected, other_expected], status),
                )

    def test_requests_beyond_a_number_are_kept_for_later(self):
        first, expected = request("POST", "/a", b"ab\r\n\r\nc", "chunks", False)
        for behind, status in ((first[:20], None), ERRORS[0][1:]):
            data = first * 5 + behind
            for position in range(1, len(data)):
                reader = http_messages.RequestReader(
                    MAX_HEADER_BYTES, MAX_BODY_BYTES
                )
                count, error_status = 0, None
                for segment in cut(data, position):
                    while segment or reader.unread:
                        try:
                            completed = reader.feed(segment, 2)
                        except http_messages.MessageError as error:
                            completed = error.completed
                            error_status = error.status
                        self.assertLessEqual(len(completed), 2)
                        count += len(completed)
                        segment = b""
                self.assertEqual((count, error_status), (5, status))
                self.assertEqual(reader.in_progress, status is None)

    def test_the_limit_on_headers_is_exact(self):
        first, expected = request("GET", "/a", b"", "none", False)
        start = GET + b"a:\r\n" * 20 + b"X: "
        # The target counts 1, each header 4 and its name and value.
        longest = LONG[: MAX_HEADER_BYTES - 1 - 20 * 5 - 5]
        for value, requests, status in (
            (longest, [expected, ("GET", "/", b"", True)], None),
            (longest + b"a", [expected], 431),
        ):
            self.check_all_cuts(
                first + start + value + b"\r\n\r\n", (requests, status)
            )

    # Guards against bytes behind the last request that are an error or not,
    # as the network cuts them.
    # Guards against a host that serves nobody else while it reads a body: the
    # parser got single lines or bytes of a chunk, and all headers were searched
    # for each.
    def test_a_chunk_is_few_pieces_whatever_its_content(self):
        content = b"\n" * 30_000
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        long_header = b"a: " + b"b" * 7_900 + b"\r\n"
        heads = (head, head + b"a:b\r\n" * 1_000, head + long_header)
        for lines in heads:
            reader = http_messages.RequestReader(8_192, len(content))
            data = lines + b"\r\n" + b"%x\r\n" % len(content) + content
            pieces = []
            parser = reader.parser
            reader.parser = mock.Mock(
                feed_data=lambda piece, parser=parser, pieces=pieces: (
                    pieces.append(piece),
                    parser.feed_data(piece),
                )
            )
            messages = []
            for segment in cut(data, *range(16_000, len(data), 8_000)):
                messages += reader.feed(segment)
            messages += reader.feed(b"\r\n0\r\n\r\n")
            with self.subTest(len(lines)):
                self.assertEqual([each.body for each in messages], [content])
                begun = [each for each in pieces if content[:1_000] in each]
                self.assertLess(len(begun), 10)
                rest = [each for each in pieces if each.strip(b"\n") == b""]
                self.assertLess(len(rest), 20)

    def test_nothing_behind_a_request_that_closes_is_read(self):
        first, first_expected = request("GET", "/a", b"", "none", False)
        last, last_expected = request("POST", "/b", b"abcde", "chunks", True)
        for behind in (first, b"zzz", ERRORS[0][1]):
            with self.subTest(behind):
                self.check_all_cuts(
                    first + last + behind,
                    ([first_expected, last_expected], None),
                )
        old = b"GET / HTTP/1.0\r\n\r\n"
        self.check_all_cuts(old + first, ([("GET", "/", b"", False)], None))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(SOUND_REQUESTS, max_size=4),
        strategies.one_of(strategies.none(), strategies.sampled_from(ERRORS)),
        strategies.lists(strategies.integers(0, 1500), max_size=6),
    )
    def test_requests_do_not_depend_on_the_cuts(self, sound, error, positions):
        data, expected, ended = b"", [], False
        for sent, each in sound:
            data += sent
            if not ended:
                expected.append(each)
            ended = ended or not each[-1]
        status = None
        if error is not None:
            data += error[1]
            status = None if ended else error[2]
        self.check_all_cuts(data, (expected, status))
        segments = cut(data, *sorted(min(p, len(data)) for p in positions))
        self.assertEqual(read(segments), (expected, status))


class ServerTest(unittest.TestCase):
    """A server on loopback; what callers receive and what is handled.

    Attributes:
        handled: Methods and targets of the requests handled, in order.
        cancelled: Targets of the requests whose handling was cancelled.
        release: Event that requests for `/wait` wait for.
        stopping: True once the server is shutting down.
        limits: Limits of the connections.
    """

    limits = LIMITS

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.handled = []
        self.cancelled = []
        self.stopping = False
        self.release = eventlet.Event()
        self.server = self.stack.enter_context(
            caller_server.Server(
                "127.0.0.1:0",
                pipelined_server.Callbacks(
                    self.handle, lambda: self.limits, lambda: self.stopping
                ),
            )
        )

    def handle(self, message):
        self.handled.append((message.method, message.target))
        try:
            if message.target == "/wait":
                self.release.wait()
            if message.target == "/slow":
                eventlet.sleep(HANDLING_SECONDS)
        except BaseException:
            self.cancelled.append(message.target)
            raise
        return pipelined_server.Answer(
            200, (), message.target.encode() + message.body
        )

    def connect(self):
        caller = eventlet.connect(self.server.listener.getsockname())
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller.settimeout(ANSWER_TIMEOUT_SECONDS)
        return self.stack.enter_context(contextlib.closing(caller))

    def send(self, caller, segments):
        """Sends segments one by one."""
        for segment in segments:
            caller.sendall(segment)
            eventlet.sleep(SEGMENT_PAUSE_SECONDS)
            # The pause may be over before the server has looked for input.
            for _ in range(10):
                eventlet.sleep(0)

    def exchange(self, segments):
        """Returns what is received until the connection is closed."""
        caller = self.connect()
        self.send(caller, segments)
        return read_to_end(caller)


def read_to_end(caller):
    """Returns all bytes that are received until the connection ends."""
    received = b""
    while data := caller.recv(65536):
        received += data
    return received


def receive(caller, size):
    """Returns the next bytes; fewer if the connection ends before."""
    received = b""
    while len(received) < size and (data := caller.recv(size - len(received))):
        received += data
    return received


def has_received(caller):
    """Returns True if bytes or the end of the connection have arrived."""
    try:
        # `fd` is the non-blocking socket inside the eventlet socket.
        caller.fd.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    return True


def answer(status, body, close=False, head_only=False):
    return http_messages.encode_answer(status, (), body, close, head_only)


class SegmentsOnTheWireTest(ServerTest):
    """Answers to the same bytes in different segments."""

    def check_cuts(self, data, received, handled):
        """Checks what is received and handled for cuts all over the data."""
        positions = range(0, len(data), max(1, len(data) // 7))
        ways = [cut(data), *(cut(data, each) for each in positions)]
        for segments in [*ways, cut(data, *positions)]:
            with self.subTest([len(each) for each in segments]):
                self.handled.clear()
                self.assertEqual(self.exchange(segments), received)
                self.assertEqual(self.handled, handled)

    # Guards against an error in the place of the answer to a sound request that
    # was not run, since malformed input follows it in the same segment.
    def test_sound_requests_are_answered_before_the_error(self):
        sound = b"".join(
            request(*each, False)[0]
            for each in (
                ("POST", "/slow", b"ab", "length"),
                ("HEAD", "/a", b"", "none"),
                ("POST", "/b", b"abcde", "chunks"),
            )
        )
        answers = (
            answer(200, b"/slowab")
            + answer(200, b"/a", head_only=True)
            + answer(200, b"/babcde")
        )
        handled = [("POST", "/slow"), ("HEAD", "/a"), ("POST", "/b")]
        for name, malformed, status in ERRORS:
            if name not in ERRORS_ON_THE_WIRE:
                continue
            with self.subTest(name):
                self.check_cuts(
                    sound + malformed,
                    answers + answer(status, b"", close=True),
                    handled,
                )

    def test_nothing_behind_a_request_that_closes_is_handled(self):
        first = request("GET", "/a", b"", "none", False)[0]
        last = request("GET", "/slow", b"", "none", True)[0]
        for behind in (first, b"zzz"):
            with self.subTest(behind):
                self.check_cuts(
                    first + last + behind,
                    answer(200, b"/a") + answer(200, b"/slow", close=True),
                    [("GET", "/a"), ("GET", "/slow")],
                )


class ManyRequestsTest(ServerTest):
    """Callers that send many requests without waiting for their answers."""

    # Guards against requests of one segment that are all started at once.
    def test_number_of_open_requests_does_not_depend_on_the_segments(self):
        count = 5 * pipelined_server.MAX_PIPELINED
        last = request("GET", "/a", b"", "none", True)[0]
        for segments in (
            [GET_WAIT * count + last],
            cut(GET_WAIT * count + last, 1000, 1001, 2500),
            [*[GET_WAIT] * count, last],
        ):
            with self.subTest(len(segments)):
                self.handled.clear()
                self.release = eventlet.Event()
                caller = self.connect()
                self.send(caller, segments)
                eventlet.sleep(SETTLE_SECONDS)
                self.assertEqual(
                    len(self.handled), pipelined_server.MAX_PIPELINED
                )
                self.release.send()
                self.assertEqual(
                    read_to_end(caller),
                    answer(200, b"/wait") * count
                    + answer(200, b"/a", close=True),
                )
                self.assertEqual(len(self.handled), count + 1)

    def test_requests_behind_the_last_answer_do_not_delay_a_stop(self):
        caller = self.connect()
        self.send(caller, [GET_WAIT * 2 * pipelined_server.MAX_PIPELINED])
        self.assertTrue(self.server.has_requests())
        self.stopping = True
        self.release.send()
        received = b""
        while b"Connection: close" not in received:
            received += caller.recv(65536)
        eventlet.sleep(2 * pipelined_server.RETRY_PAUSE_SECONDS)
        self.assertFalse(self.server.has_answers())
        self.assertEqual(len(self.handled), received.count(b"/wait"))
        # The connection lingers until its caller closes it.
        self.assertTrue(self.server.has_requests())
        caller.close()
        eventlet.sleep(2 * pipelined_server.RETRY_PAUSE_SECONDS)
        self.assertFalse(self.server.has_requests())


class ContinueTest(ServerTest):
    """Status 100 for callers that wait for it before they send a body."""

    # Guards against a caller that waits for status 100 until its time is over,
    # since an earlier request was open when its own arrived.
    def test_continue_follows_the_answers_to_earlier_requests(self):
        for segments in (
            [GET_WAIT + EXPECT_LENGTH],
            [GET_WAIT, EXPECT_LENGTH],
            [GET_WAIT + EXPECT_LENGTH[:30], EXPECT_LENGTH[30:]],
            [GET_WAIT, GET_WAIT + EXPECT_CHUNKS],
        ):
            with self.subTest(segments):
                self.release = eventlet.Event()
                caller = self.connect()
                self.send(caller, segments)
                self.assertFalse(has_received(caller))
                self.release.send()
                earlier = sum(each.count(b"/wait") for each in segments)
                expected = answer(200, b"/wait") * earlier + CONTINUE
                self.assertEqual(receive(caller, len(expected)), expected)
                chunks = EXPECT_CHUNKS in segments[-1]
                self.send(caller, [chunked(b"hello") if chunks else b"hello"])
                self.check_end(caller, answer(200, b"/bhello"))

    def test_continue_is_sent_at_once_without_an_open_request(self):
        caller = self.connect()
        for _ in range(2):
            caller.sendall(EXPECT_LENGTH)
            self.assertEqual(receive(caller, len(CONTINUE)), CONTINUE)
            caller.sendall(b"hello")
            expected = answer(200, b"/bhello")
            self.assertEqual(receive(caller, len(expected)), expected)

    def test_continue_is_sent_once(self):
        for earlier in (b"", GET_WAIT):
            with self.subTest(earlier):
                self.release = eventlet.Event()
                caller = self.connect()
                self.send(caller, [earlier + EXPECT_CHUNKS])
                self.release.send()
                expected = (
                    answer(200, b"/wait") if earlier else b""
                ) + CONTINUE
                self.assertEqual(receive(caller, len(expected)), expected)
                body = chunked(b"hello")
                self.send(caller, cut(body, *range(1, len(body))))
                self.check_end(caller, answer(200, b"/bhello"))

    def test_no_continue_once_the_body_has_begun(self):
        for head, body in (
            (EXPECT_LENGTH, b"hello"),
            (EXPECT_CHUNKS, chunked(b"hello")),
        ):
            for earlier in (b"", GET_WAIT):
                for size in (1, 3):
                    with self.subTest((head, earlier, size)):
                        self.release = eventlet.Event()
                        caller = self.connect()
                        segments = [earlier + head + body[:size]]
                        if earlier:
                            segments = [earlier + head, body[:size]]
                        self.send(caller, segments)
                        self.release.send()
                        self.send(caller, [body[size:]])
                        self.check_end(
                            caller,
                            (answer(200, b"/wait") if earlier else b"")
                            + answer(200, b"/bhello"),
                        )

    def test_no_continue_on_a_connection_that_closes(self):
        caller = self.connect()
        self.send(caller, [GET_WAIT + EXPECT_LENGTH])
        self.stopping = True
        self.release.send()
        self.assertEqual(read_to_end(caller), answer(200, b"/wait", close=True))

    def check_end(self, caller, expected):
        """Checks that this and nothing else is received."""
        self.assertEqual(receive(caller, len(expected)), expected)
        eventlet.sleep(SETTLE_SECONDS)
        self.assertFalse(has_received(caller))


class EndOfInputTest(ServerTest):
    """Callers that end their sending side while a request is open."""

    # Shows that the end of the input counts as the caller's disconnect.
    def test_caller_that_ends_its_sending_side_has_left(self):
        caller = self.connect()
        self.send(caller, [GET_WAIT])
        self.assertEqual(self.handled, [("GET", "/wait")])
        caller.shutdown(socket.SHUT_WR)
        self.assertEqual(read_to_end(caller), b"")
        eventlet.sleep(SETTLE_SECONDS)
        self.assertEqual(self.cancelled, ["/wait"])
        self.assertEqual(self.server.connections, set())


class IdleTest(ServerTest):
    """Connections that are kept open between requests."""

    limits = LIMITS._replace(idle_timeout_seconds=IDLE_SECONDS)

    # Guards against a connection that is closed just after an answer that took
    # long, since its idle time was counted from the request.
    def test_idle_time_begins_with_the_answer(self):
        caller = self.connect()
        self.send(caller, [GET_WAIT])
        eventlet.sleep(IDLE_SECONDS)
        self.release.send()
        expected = answer(200, b"/wait")
        self.assertEqual(receive(caller, len(expected)), expected)
        # Longer than the rest of the idle time that began with the request.
        eventlet.sleep(2 * pipelined_server.IDLE_MARGIN_SECONDS)
        self.send(caller, [GET_WAIT])
        self.assertEqual(receive(caller, len(expected)), expected)
        self.assertEqual(read_to_end(caller), b"")


if __name__ == "__main__":
    unittest.main()
