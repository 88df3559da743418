"""Tests of answers whose heads are none of HTTP/1.1, at each reader of them."""

import itertools
import unittest

from gooseberryweir.connection import http_messages

MAX_BYTES = 10_000
LENGTH = b"Content-Length: 2\r\n"
BODY = b"\r\nok"
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKS = b"\r\n2\r\nok\r\n0\r\n\r\n"

STATUSES = (
    b"000",
    b"001",
    b"099",
    b"600",
    b"999",
    b"20",
    b"2",
    b"2000",
    b"+20",
    b"-20",
    b"0x2",
    b"20a",
    b"2 0",
    b"\xb2\xb2\xb2",
    b"101",
    b"",
)
STATUS_LINES = (
    *(b"HTTP/1.1 %s OK\r\n" % each for each in STATUSES),
    *(
        each + b" 200 OK\r\n"
        for each in (
            b"HTTP/0.9",
            b"HTTP/1.2",
            b"HTTP/1.10",
            b"HTTP/1.1.1",
            b"HTTP/2.0",
            b"HTTP/9.9",
            b"HTTP/11",
            b"HTTP/1",
            b"http/1.1",
            b"RTSP/1.0",
            b"ICE/1.0",
            b"ICY",
            b" HTTP/1.1",
        )
    ),
    b"HTTP/1.1  200 OK\r\n",
    b"HTTP/1.1\t200 OK\r\n",
    b"HTTP/1.1 200\tOK\r\n",
    b"HTTP/1.1 200OK\r\n",
    b"HTTP/1.1 200 O\x00K\r\n",
    b"HTTP/1.1 200 O\x01K\r\n",
    b"HTTP/1.1 200 O\x7fK\r\n",
    b"HTTP/1.1 200 O\rK\r\n",
    b"HTTP/1.1 200 OK\r",
)
HEADERS = (
    b"Bad Name: x",
    b"Bad : x",
    b"Bad\t: x",
    b"Bad\x00: x",
    b"Bad\x01: x",
    b"Bad\x7f: x",
    b"Bad\rName: x",
    b"Bad\xe9: x",
    b"Bad(: x",
    b": x",
    b"Bad",
    b" Bad: x",
    b"\tBad: x",
    b"Ok: a\x00b",
    b"Ok: a\x01b",
    b"Ok: a\x0bb",
    b"Ok: a\x1cb",
    b"Ok: a\x7fb",
    b"Ok: a\rOther: b",
    b"Ok: a\r\n folded: b",
    b"Content-Length : 1",
    b"Content-Length: 2",
    b"Content-Length: 3",
    b"Transfer-Encoding: chunked",
)
LENGTHS = (b"2,2", b"-2", b"+2", b"0x2", b"2 2", b"\xb2", b"", b"2\x00")
CODINGS = (
    b"gzip, chunked",
    b"chunked, gzip",
    b"xchunked",
    b"identity",
    b"chunked\r\nTransfer-Encoding: chunked",
)
MALFORMED = (
    *(line + LENGTH + BODY for line in STATUS_LINES),
    *(
        STATUS_LINE + before + header + b"\r\n" + LENGTH + BODY
        for before, header in itertools.product((b"", b"A: b\r\n"), HEADERS)
    ),
    *(
        STATUS_LINE + b"Content-Length: " + each + b"\r\n" + BODY
        for each in LENGTHS
    ),
    *(
        STATUS_LINE + b"Transfer-Encoding: " + each + b"\r\n" + CHUNKS
        for each in CODINGS
    ),
    b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + CHUNKS,
)
# Answers that are unusual only.
SOUND = (
    STATUS_LINE + LENGTH + BODY,
    STATUS_LINE + BODY,
    b"HTTP/1.0 200 OK\r\n" + LENGTH + BODY,
    b"HTTP/1.1 200 \r\n" + LENGTH + BODY,
    b"HTTP/1.1 200 O\tK \xff\r\n" + LENGTH + BODY,
    STATUS_LINE + b"Ok: a\tb \xe9\r\n" + LENGTH + BODY,
    STATUS_LINE + b"!#$%&'*+-.^_`|~: \r\n" + LENGTH + BODY,
    STATUS_LINE + b"Transfer-Encoding: Chunked\r\n" + CHUNKS,
    b"HTTP/1.1 102 Processing\r\n\r\n" + STATUS_LINE + LENGTH + BODY,
)


def _pieces(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


class AnswerReaderTest(unittest.TestCase):
    """The reader of answers of upstreams and of other hosts."""

    def read(self, pieces):
        """Returns the answer that a connection brings, or None.

        Raises:
            MessageError: It is malformed.
        """
        reader = http_messages.AnswerReader(MAX_BYTES, MAX_BYTES, "GET")
        for each in pieces:
            if completed := reader.feed(each):
                return completed[0]
        return reader.feed_eof()

    # Guards against heads that are none of HTTP/1.1 and reach callers as
    # answers: status 000, or a blank or control byte in the name of a header.
    def test_malformed_head_is_an_error(self):
        for data in MALFORMED:
            for size in (1, 7, len(data)):
                with (
                    self.subTest(data=data, size=size),
                    self.assertRaises(http_messages.MessageError),
                ):
                    self.read(_pieces(data, size))

    def test_sound_answer_is_read(self):
        for data in SOUND:
            for size in (1, len(data)):
                with self.subTest(data=data, size=size):
                    answer = self.read(_pieces(data, size))
                    self.assertEqual((answer.status, answer.body), (200, b"ok"))

    # Guards against an answer that is made a refusal by what follows its body.
    def test_trailers_are_no_headers(self):
        data = (
            STATUS_LINE
            + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
            + b"0\r\nNot-Executed: 1\r\n\r\n"
        )
        answer = self.read([data])
        self.assertEqual(answer.body, b"ok")
        self.assertEqual(answer.headers, (("Transfer-Encoding", "chunked"),))


if __name__ == "__main__":
    unittest.main()
