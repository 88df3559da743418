"""What takers of tokens wait for, and tokens on hand."""

from typing import NamedTuple

from eventlet import event as events


class Taken(NamedTuple):
    """Tokens were spent."""


class Refused(NamedTuple):
    """No token can be had within the wait.

    Attributes:
        retry_after: Seconds after which to come back.
        over_rate: True if the home said that no token is due; False if no
            home answered.
    """

    retry_after: float
    over_rate: bool


class HeldGrant:
    """Tokens of one grant on hand."""

    def __init__(self, granted: int, expires_at: float) -> None:
        self.granted = granted
        self.spent = 0
        self.reported = 0
        self.expires_at = expires_at


class Waiter:
    """A taker that waits for tokens until an instant."""

    def __init__(self, tokens: int, give_up_at: float) -> None:
        self.tokens = tokens
        self.give_up_at = give_up_at
        self.event = events.Event()

    def complete(self, result: float | Refused) -> None:
        """Ends the wait with the tokens' end, or a refusal."""
        if not self.event.ready():
            self.event.send(result)
