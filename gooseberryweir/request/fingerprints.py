"""Names a request by what it asks for, so that its repeats are recognised."""

import hashlib

# Hexadecimal digits that are kept: 128 bits, beyond chance collisions.
_DIGITS = 32


def fingerprint(account: str, method: str, target: str, body: bytes) -> str:
    """Returns the digest that names a request.

    Args:
        account: Name of the client account, or empty.
        method: The method.
        target: Path and query.
        body: The body, or as much of it as is held.
    """
    text = f"{account}\0{method}\0{target}\0".encode()
    return hashlib.sha256(text + body).hexdigest()[:_DIGITS]
