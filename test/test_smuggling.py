"""Request smuggling: ambiguous and malformed requests are refused, not run.

Most are followed by a second, hidden request on the same connection, which must
not reach an upstream. The host must continue to serve other requests.
"""

import unittest

from gooseberryweir.version import declarations
from gooseberryweir.version import validation
from test import _deployments
from test import _raw
from test.test_bodies import HostTest

HIDDEN_REQUEST_START = (
    b"GET /contracts/hidden HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
)

# Name of the case, header lines after the key, code of the refusal.
BODY_LENGTHS = (
    ("negative", b"Content-Length: -1\r\n", 208),
    ("plus", b"Content-Length: +5\r\n", 208),
    ("hexadecimal", b"Content-Length: 0x5\r\n", 208),
    ("underscore", b"Content-Length: 1_0\r\n", 208),
    ("words", b"Content-Length: five\r\n", 208),
    ("empty", b"Content-Length:\r\n", 208),
    ("no-break space", b"Content-Length: \xa05\r\n", 208),
    ("enormous", b"Content-Length: 99999999999999999999\r\n", 208),
    ("two", b"Content-Length: 5\r\nContent-Length: 6\r\n", 209),
    ("twice the same", b"Content-Length: 5\r\nContent-Length: 5\r\n", 209),
    ("list", b"Content-Length: 5, 5\r\n", 208),
    ("both", b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 209),
    (
        "both, reversed",
        b"transfer-encoding: chunked\r\ncontent-length: 5\r\n",
        209,
    ),
    ("list of codings", b"Transfer-Encoding: chunked, identity\r\n", 208),
    ("coding before", b"Transfer-Encoding: gzip, chunked\r\n", 208),
    ("unknown coding", b"Transfer-Encoding: xchunked\r\n", 208),
    ("identity", b"Transfer-Encoding: identity\r\n", 208),
    ("quoted", b'Transfer-Encoding: "chunked"\r\n', 208),
    ("coding after no-break space", b"Transfer-Encoding: \xa0chunked\r\n", 208),
    ("empty coding", b"Transfer-Encoding:\r\n", 208),
    (
        "two codings",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        209,
    ),
)
# Name of the case, header lines after the key, code of the refusal.
HEADER_LINES = (
    ("folded", b"X-A: 1\r\n 2\r\n", 210),
    ("folded by tab", b"X-A: 1\r\n\tTransfer-Encoding: chunked\r\n", 210),
    ("folded first", b" X-A: 1\r\n", 210),
    ("space before colon", b"Transfer-Encoding : chunked\r\n", 210),
    ("no colon", b"Transfer-Encoding chunked\r\n", 210),
    ("no name", b": chunked\r\n", 210),
    ("bare LF", b"X-A: 1\nTransfer-Encoding: chunked\r\n", 210),
    ("bare CR", b"X-A: 1\rTransfer-Encoding: chunked\r\n", 210),
    ("NUL", b"X-A: 1\x002\r\n", 210),
    ("NUL in a name", b"X\0-A: 1\r\n", 210),
    ("control character", b"X-A: \x0b1\r\n", 210),
    ("vertical tab in coding", b"Transfer-Encoding: \x0bchunked\r\n", 210),
    ("long line", b"X-A: " + b"a" * 9000 + b"\r\n", 207),
    ("many bytes", (b"X-A: " + b"a" * 4000 + b"\r\n") * 5, 207),
    ("many lines", b"X-A: 1\r\n" * 150, 207),
)
# Name of the case, request line, code of the refusal.
REQUEST_LINES = (
    ("absolute form", b"GET http://x/contracts HTTP/1.1\r\n", 211),
    ("other scheme", b"GET file:///etc/passwd HTTP/1.1\r\n", 211),
    ("asterisk", b"OPTIONS * HTTP/1.1\r\n", 211),
    ("authority", b"CONNECT x:80 HTTP/1.1\r\n", 211),
    ("dot segments", b"GET /open/../contracts HTTP/1.1\r\n", 211),
    ("dot segment at the end", b"GET /contracts/.. HTTP/1.1\r\n", 211),
    ("one dot", b"GET /contracts/./x HTTP/1.1\r\n", 211),
    ("escaped dots", b"GET /contracts/open/%2e%2E/x HTTP/1.1\r\n", 211),
    ("escaped slash", b"GET /contracts%2fopen HTTP/1.1\r\n", 211),
    ("escaped slash, capital", b"GET /contracts%2Fopen HTTP/1.1\r\n", 211),
    ("double slash", b"GET /contracts//open HTTP/1.1\r\n", 211),
    ("double slash first", b"GET //contracts HTTP/1.1\r\n", 211),
    ("backslash", b"GET /contracts\\open HTTP/1.1\r\n", 211),
    ("escaped backslash", b"GET /contracts/%5c.. HTTP/1.1\r\n", 211),
    ("escaped NUL", b"GET /contracts/%00 HTTP/1.1\r\n", 211),
    ("NUL", b"GET /contracts/\0 HTTP/1.1\r\n", 211),
    ("half an escape", b"GET /contracts/%2 HTTP/1.1\r\n", 211),
    ("invalid escape", b"GET /contracts/%zz HTTP/1.1\r\n", 211),
    ("half an escape in the query", b"GET /contracts?%zz HTTP/1.1\r\n", 211),
    ("fragment", b"GET /contracts#x HTTP/1.1\r\n", 211),
    ("bytes over 127", b"GET /contracts/\xc3\xa9 HTTP/1.1\r\n", 211),
    ("two spaces", b"GET  /contracts HTTP/1.1\r\n", 211),
    ("tab", b"GET\t/contracts HTTP/1.1\r\n", 211),
    ("space in the path", b"GET /contracts /x HTTP/1.1\r\n", 211),
    ("no version", b"GET /contracts\r\n", 211),
    ("version 2", b"GET /contracts HTTP/2.0\r\n", 211),
    ("version 1.2", b"GET /contracts HTTP/1.2\r\n", 211),
    ("bare LF", b"GET /contracts HTTP/1.1\n", 211),
    ("long", b"GET /contracts/" + b"a" * 20_000 + b" HTTP/1.1\r\n", 207),
)
# Name of the case, body.
CHUNKED_BODIES = (
    ("negative size", b"-5\r\nhello\r\n0\r\n\r\n"),
    ("plus", b"+5\r\nhello\r\n0\r\n\r\n"),
    ("hexadecimal prefix", b"0x5\r\nhello\r\n0\r\n\r\n"),
    ("underscore", b"0_5\r\nhello\r\n0\r\n\r\n"),
    ("space before size", b" 5\r\nhello\r\n0\r\n\r\n"),
    ("space after size", b"5 \r\nhello\r\n0\r\n\r\n"),
    ("empty size", b"\r\nhello\r\n0\r\n\r\n"),
    ("bare LF after size", b"5\nhello\r\n0\r\n\r\n"),
    ("more than the size", b"5\r\nhelloXX\r\n0\r\n\r\n"),
    ("no end of chunk", b"5\r\nhello0\r\n\r\n"),
    ("NUL in extension", b"5;a=\0\r\nhello\r\n0\r\n\r\n"),
    ("bare LF in trailer", b"5\r\nhello\r\n0\r\nX-A: 1\n\r\n"),
    ("huge size", b"fffffffffffffffff\r\nhello\r\n0\r\n\r\n"),
    ("long extension", b"5;" + b"a" * 5000 + b"\r\nhello\r\n0\r\n\r\n"),
)


class SmugglingTest(HostTest):
    """A host refuses ambiguous and malformed requests, sent as raw bytes."""

    def setUp(self):
        self.request_line = b"GET /contracts HTTP/1.1\r\n"
        self.key_line = f"Host: x\r\nAuthorization: Bearer {self.key}\r\n"
        self.hidden_request = (
            HIDDEN_REQUEST_START + self.key.encode() + b"\r\n\r\n"
        )

    def check_refused(self, code, *parts):
        """Checks that a request is refused and none is run.

        Also checks that the host still serves other connections.
        """
        before = self.count_started_requests()
        connection = self.connect()
        connection.send(*parts)
        answer = connection.read_answer()
        document = answer.json()
        self.assertEqual((document["code"], document["ran"]), (code, "no"))
        self.assertEqual(answer.headers["gooseberryweir-ran"], "no")
        self.assertEqual(answer.headers["content-type"], "application/json")
        self.assertEqual(connection.read_to_end(), b"")
        self.assertEqual(self.count_started_requests(), before)
        connection = self.connect()
        connection.send(_raw.head("GET", "/contracts", key=self.key))
        self.assertEqual(connection.read_answer().status, 200)

    def count_started_requests(self):
        reports = self.running.reports().values()
        return sum(len(report["starts"]) for report in reports)

    def check_header_lines(self, cases):
        """Checks that a request with the header lines of each case is refused.

        Args:
            cases: Name, header lines and expected code of each case.
        """
        key_line = self.key_line.encode()
        for name, lines, code in cases:
            with self.subTest(name):
                head = self.request_line + key_line + lines + b"\r\n"
                self.check_refused(
                    code, head, b"0\r\n\r\n", self.hidden_request
                )

    def test_ambiguous_or_invalid_body_lengths_are_refused(self):
        self.check_header_lines(BODY_LENGTHS)

    def test_malformed_or_large_header_lines_are_refused(self):
        self.check_header_lines(HEADER_LINES)

    def test_request_lines_malformed_or_unsupported_are_refused(self):
        for name, request_line, code in REQUEST_LINES:
            with self.subTest(name):
                # `read_to_end` waits until the connection is closed.
                lines = f"{self.key_line}Connection: close\r\n\r\n".encode()
                self.check_refused(code, request_line, lines)

    def test_chunked_bodies_with_malformed_chunks_are_refused(self):
        head = _raw.head(
            "PUT", "/contracts", "Transfer-Encoding: chunked", key=self.key
        )
        for name, body in CHUNKED_BODIES:
            with self.subTest(name):
                self.check_refused(208, head, body, self.hidden_request)

    def test_chunked_body_in_http_1_0_is_refused(self):
        head = _raw.head(
            "PUT", "/contracts", "Transfer-Encoding: chunked", key=self.key
        )
        http_1_0_head = head.replace(b"HTTP/1.1", b"HTTP/1.0")
        self.check_refused(
            208, http_1_0_head, b"0\r\n\r\n", self.hidden_request
        )

    def test_truncated_head_is_refused(self):
        head = _raw.head("GET", "/contracts", key=self.key)
        connection = self.connect()
        before = self.count_started_requests()
        connection.send(head[:-2])
        connection.socket.shutdown(_raw.socket.SHUT_WR)
        self.assertEqual(connection.read_answer().json()["code"], 210)
        self.assertEqual(self.count_started_requests(), before)

    def test_truncated_body_is_refused(self):
        for line, body in (
            ("Content-Length: 9", b"1234"),
            ("Transfer-Encoding: chunked", b"9\r\n1234"),
            ("Transfer-Encoding: chunked", b"4\r\n1234\r\n"),
        ):
            with self.subTest(line):
                before = self.count_started_requests()
                connection = self.connect()
                head = _raw.head("PUT", "/contracts", line, key=self.key)
                connection.send(head, body)
                connection.socket.shutdown(_raw.socket.SHUT_WR)
                document = connection.read_answer().json()
                self.assertEqual(document["code"], 208)
                self.assertEqual(document["ran"], "no")
                self.assertEqual(self.count_started_requests(), before)

    def test_refusal_is_read_while_a_large_body_is_sent(self):
        lines = ("Content-Length: 900000", "Transfer-Encoding: chunked")
        head = _raw.head("PUT", "/contracts", *lines, key=self.key)
        self.check_refused(209, head, bytes(900_000))


class OpenRouteTest(unittest.TestCase):
    """A declared route that is open (needs no key) must be idempotent.

    Requests to other routes need tickets, which are issued only for a key.
    """

    def test_an_open_route_that_is_not_idempotent_is_invalid(self):
        document = _deployments.declarations()
        document["routes"][3]["idempotent"] = False
        errors = declarations.parse(document).failure()
        self.assertEqual([error.path for error in errors], ["routes[3].open"])
        self.assertIsInstance(errors[0], validation.FieldError)


if __name__ == "__main__":
    unittest.main()
