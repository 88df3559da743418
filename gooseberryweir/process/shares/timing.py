"""Durations and limits that the hosts must agree on."""

HEARTBEAT_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 1.0
FRESH_SECONDS = 3.0
LEASE_SECONDS = 2.0
# Platform evidence without a break for this long makes a host fresh again
# that hears too few peers.
JOIN_SECONDS = 5.0
GRANT_SECONDS = 2.0
SILENCE_SECONDS = 2.0
# A voter's answer lends weight to a duty only after it held the view this
# long: by then every answer and every grant under another view has run out.
SETTLE_SECONDS = LEASE_SECONDS + GRANT_SECONDS
# After a gap this long between two heartbeats the process was paused, and
# silence of its peers proves nothing.
PAUSE_SECONDS = 1.0
# Voters that the platform's list dropped all at once count for this long.
FORMER_VOTERS_SECONDS = 60.0
NO_EVIDENCE_SECONDS = 1e9
