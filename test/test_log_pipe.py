"""Tests that log lines are omitted and counted while a pipe is not read."""

import logging
import os
import unittest

from gooseberryweir import logs


class NonBlockingHandlerTest(unittest.TestCase):
    """Lines that the handler writes to a pipe with space or to a full one."""

    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.handler = logs.NonBlockingHandler(writer)

    def emit(self, text):
        self.handler.emit(
            logging.LogRecord("x", logging.INFO, "x", 1, text, None, None)
        )

    def read(self):
        return os.read(self.reader, 1 << 20).decode()

    def test_lines_are_complete_and_in_order(self):
        for index in range(3):
            self.emit(f"line {index}")
        self.assertEqual(self.read(), "line 0\nline 1\nline 2\n")

    def test_lines_lost_to_a_full_pipe_are_counted_in_the_next_one(self):
        for _ in range(100):
            self.emit("x" * 1000)
        lost = self.handler.omitted
        self.assertGreater(lost, 0)
        first = self.read()
        self.emit("after")
        text = first + self.read()
        self.assertIn(f"after lines_omitted={lost}\n", text)
        complete = [line for line in text.splitlines() if line == "x" * 1000]
        self.assertEqual(len(complete) + lost, 100)
        self.assertEqual(self.handler.omitted, 0)


if __name__ == "__main__":
    unittest.main()
