"""Fingerprints: digests by which repeats of a request are recognised."""

import hashlib

# Length of a fingerprint; 128 bits make an accidental collision practically
# impossible.
_HEX_DIGITS = 32


def fingerprint(account: str, method: str, target: str, body: bytes) -> str:
    """Returns the digest that identifies a request by its content.

    Args:
        account: Name of the client account; empty if unauthenticated.
        method: HTTP method.
        target: Path and query.
        body: Body; empty if it is streamed.
    """
    text = f"{account}\0{method}\0{target}\0".encode()
    return hashlib.sha256(text + body).hexdigest()[:_HEX_DIGITS]
