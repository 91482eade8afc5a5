"""Hash keys and decide whether a presented key is accepted."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.records.kinds import Key

# Longer keys are rejected before hashing, so that a large header cannot cost much CPU time.
MAX_KEY_LENGTH = 512


def key_digest(key: str) -> str:
    """Return the SHA-256 digest under which a key is stored."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def digests_equal(presented: str, stored: str) -> bool:
    """Compare two digests in constant time."""
    return hmac.compare_digest(presented.encode(), stored.encode())


@attrs.define
class KeyIndex:
    """Index key records by digest; a lookup takes constant time for any number of keys."""

    by_digest: dict[str, dict[str, Key]] = attrs.Factory(dict)

    def copy(self) -> KeyIndex:
        """Return an independent copy of the index."""
        return KeyIndex({digest: dict(by_name) for digest, by_name in self.by_digest.items()})

    def add(self, name: str, key: Key) -> None:
        """Add or replace a key record."""
        self.by_digest.setdefault(key.digest, {})[name] = key

    def remove(self, name: str, key: Key) -> None:
        """Remove a key record."""
        by_name = self.by_digest.get(key.digest, {})
        by_name.pop(name, None)
        if not by_name:
            self.by_digest.pop(key.digest, None)

    def find(self, presented: str) -> Key | None:
        """Return the record of a presented key, or None.

        If several records have the same digest, the team is ambiguous and a withdrawn record
        takes precedence.
        """
        if len(presented) > MAX_KEY_LENGTH:
            return None
        presented_digest = key_digest(presented)
        matches = [
            key
            for _, key in sorted(self.by_digest.get(presented_digest, {}).items())
            if digests_equal(presented_digest, key.digest)
        ]
        return min(matches, key=lambda key: not key.withdrawn) if matches else None


def check_key(key: Key | None, cut_off_s: float, header: str) -> Key | Refusal:
    """Return the key if it is accepted, or a refusal.

    `cut_off_s` is the number of seconds since the platform, or a peer that reaches it, last
    confirmed the records; `header` is the header named in the remedy.
    """
    if key is None:
        return Refusal(
            ErrorKind.KEY_REJECTED,
            "the key is not known",
            remedy=f"send a valid key in the header {header}",
        )
    if key.withdrawn:
        return Refusal(
            ErrorKind.KEY_REJECTED,
            "the key was withdrawn",
            remedy="ask an operator for a new key",
        )
    if key.offline_grace_s is not None and cut_off_s > key.offline_grace_s:
        return Refusal(
            ErrorKind.KEY_REJECTED,
            f"this data centre has been cut off for longer than the {key.offline_grace_s:g} s "
            "for which the key is accepted offline",
            remedy="send the request to another data centre or wait for the connection",
            retry_after_s=5.0,
        )
    return key
