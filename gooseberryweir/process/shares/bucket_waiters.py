"""Data types of `bucket_holder`: results, held grants and waiting tasks."""

from typing import NamedTuple

from eventlet import event as events


class Taken(NamedTuple):
    """The tokens were spent."""


class Refused(NamedTuple):
    """The tokens were not available in time.

    Attributes:
        retry_after: Seconds after which to retry.
        over_rate: True if the home answered that no token is due in time;
            False if no home answered.
    """

    retry_after: float
    over_rate: bool


class HeldGrant:
    """A grant of tokens by the home of a bucket to this host.

    Attributes:
        granted: Number of tokens granted.
        spent: Number of tokens spent on this host.
        reported: Number of spent tokens that were reported to the home.
        expires_at: Monotonic instant from which no token may be spent.
    """

    def __init__(self, granted: int, expires_at: float) -> None:
        self.granted = granted
        self.spent = 0
        self.reported = 0
        self.expires_at = expires_at


class Waiter:
    """A task that waits for tokens.

    Attributes:
        tokens: Number of tokens that it needs.
        give_up_at: Monotonic instant at which it stops waiting.
        event: Receives the result of the wait.
    """

    def __init__(self, tokens: int, give_up_at: float) -> None:
        self.tokens = tokens
        self.give_up_at = give_up_at
        self.event = events.Event()

    def complete(self, result: float | Refused) -> None:
        """Ends the wait.

        Args:
            result: Instant at which the tokens taken expire, or a refusal.
        """
        if not self.event.ready():
            self.event.send(result)
