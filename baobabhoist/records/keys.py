"""Digest keys and decide whether a presented key is accepted."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.records.kinds import Key

# Longer keys are refused before they are digested, so that a header cannot cost much time.
MAX_KEY_LENGTH = 512


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


def digests_equal(presented: str, stored: str) -> bool:
    """Compare two digests in constant time."""
    return hmac.compare_digest(presented.encode(), stored.encode())


@attrs.define
class KeyIndex:
    """Find key records by digest in constant time, whatever the number of keys."""

    by_digest: dict[str, dict[str, Key]] = attrs.Factory(dict)

    def copy(self) -> KeyIndex:
        """Return an independent index of the same keys."""
        return KeyIndex({found: dict(named) for found, named in self.by_digest.items()})

    def add(self, name: str, key: Key) -> None:
        """Add or replace a key record."""
        self.by_digest.setdefault(key.digest, {})[name] = key

    def remove(self, name: str, key: Key) -> None:
        """Remove a key record."""
        named = self.by_digest.get(key.digest, {})
        named.pop(name, None)
        if not named:
            self.by_digest.pop(key.digest, None)

    def find(self, presented: str) -> Key | None:
        """Return the record of a presented key, or None.

        Two records with one digest would make the team ambiguous, so a withdrawn one wins.
        """
        if len(presented) > MAX_KEY_LENGTH:
            return None
        wanted = key_digest(presented)
        matches = [
            key
            for _, key in sorted(self.by_digest.get(wanted, {}).items())
            if digests_equal(wanted, key.digest)
        ]
        return min(matches, key=lambda key: not key.withdrawn) if matches else None


def check_key(key: Key | None, cut_off_s: float, header: str) -> Key | Refusal:
    """Return a key that is accepted, or why it is not.

    `cut_off_s` is the time since the records were last confirmed by the platform or a peer that
    reaches it, in seconds; `header` names the header for the remedy.
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
