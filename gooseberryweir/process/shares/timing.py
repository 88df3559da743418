"""Durations that must be the same on all hosts."""

# Interval between the heartbeats that a host sends to a peer.
HEARTBEAT_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 1.0
# A host is fresh (it may serve requests) only while the latest confirmation by
# the platform, or of the platform's outage, is at most this old; see
# `freshness`.
FRESH_SECONDS = 3.0
# Time for which a voter's answer supports a host as the home of a limit (the
# host that grants shares of it).
LEASE_SECONDS = 2.0
# A host that gets answers from too few peers becomes fresh again after it had
# recent platform confirmations without interruption for this long.
JOIN_SECONDS = 5.0
# Lifetime of granted tokens and slots.
GRANT_SECONDS = 2.0
# A peer that was not heard from for this long is suspected to be dead.
SILENCE_SECONDS = 2.0
# A voter's answer supports a home only after the voter held the view for this
# long: by then every answer and every grant under another view has expired.
SETTLE_SECONDS = LEASE_SECONDS + GRANT_SECONDS
# A gap this long between two heartbeats means that the process was paused, so
# the silence of its peers does not show that they are dead.
MIN_PROCESS_PAUSE_SECONDS = 1.0
# A view needs a majority of the voters of earlier host lists too, for at most
# this long.
FORMER_VOTERS_SECONDS = 60.0
# Reported as the age of the latest confirmation if there is none.
NO_CONFIRMATION_AGE_SECONDS = 1e9
