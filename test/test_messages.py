"""Encoding and decoding of messages between hosts."""

import unittest

from gooseberryweir.connection import messages


class MessagesTest(unittest.TestCase):
    """Messages that are encoded and decoded, and one of an unknown type."""

    def test_a_decoded_message_equals_the_one_sent(self):
        sent = messages.Ping("c1", 7)
        unpacker = messages.make_unpacker()
        unpacker.feed(messages.encode(sent, 3))
        received = [messages.decode(fields) for fields in unpacker]
        self.assertEqual(received, [(3, sent)])

    def test_an_unknown_message_is_an_error(self):
        with self.assertRaises(messages.ProtocolError):
            messages.decode((999, 0))
