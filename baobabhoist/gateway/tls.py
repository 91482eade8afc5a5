"""Build TLS contexts for the listeners and load their certificates again when they change."""

from __future__ import annotations

import asyncio
import logging
import os
import ssl

import attrs

from baobabhoist.errors import SettingsError
from baobabhoist.observability.events import Event, emit

log = logging.getLogger(__name__)

RELOAD_INTERVAL_S = 5.0
# The modification time, size and inode of a file; a replaced file differs in at least one.
FileStamp = tuple[int, int, int]


@attrs.frozen
class TlsFiles:
    """Name the PEM files of a listener.

    With `client_ca`, clients must present a certificate that these authorities signed.
    """

    certificate: str
    key: str
    client_ca: str = ""

    def paths(self) -> tuple[str, ...]:
        """Return the files that are read."""
        return tuple(path for path in (self.certificate, self.key, self.client_ca) if path)


@attrs.define
class ReloadingTlsContext:
    """Own the TLS context of a listener.

    The outer context serves every listener socket for its whole life. It picks the newest inner
    context in each handshake, so that established connections keep the certificate they began
    with and new ones get the new certificate and the new client authorities.
    """

    files: TlsFiles
    context: ssl.SSLContext
    _inner: ssl.SSLContext
    _signatures: tuple[FileStamp | None, ...]

    @classmethod
    def load(cls, files: TlsFiles) -> ReloadingTlsContext:
        """Read the files; raises SettingsError that names the file that cannot be used."""
        signatures = _signatures(files)
        inner = make_server_context(files)
        # The outer context is complete as well: its verification settings apply before the
        # inner one is chosen.
        found = cls(files, make_server_context(files), inner, signatures)
        found.context.sni_callback = found._choose
        return found

    def reload_if_changed(self) -> bool:
        """Read the files again if one has changed; tell whether new ones are in use.

        Files that do not fit together leave the old ones in use: an operator may have replaced
        the certificate but not yet the key.
        """
        signatures = _signatures(self.files)
        if signatures == self._signatures:
            return False
        try:
            self._inner = make_server_context(self.files)
        except SettingsError as exc:
            emit(log, Event.TLS_RELOAD_FAILED, path=self.files.certificate, detail=str(exc))
            return False
        self._signatures = signatures
        emit(log, Event.TLS_RELOADED, path=self.files.certificate)
        return True

    async def watch(self, interval_s: float = RELOAD_INTERVAL_S) -> None:
        """Look for changed files until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            self.reload_if_changed()

    def _choose(self, conn: ssl.SSLObject, _name: str | None, _context: ssl.SSLContext) -> None:
        conn.context = self._inner


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for a listener; raises SettingsError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # A resumed session would skip the check of the client's certificate against new authorities.
    context.options |= ssl.OP_NO_TICKET
    try:
        context.load_cert_chain(files.certificate, files.key, password=_no_password)
    except (OSError, ssl.SSLError, ValueError) as exc:
        raise SettingsError(
            f"cannot use the certificate {files.certificate} with the key {files.key}: {exc}; "
            "give a PEM certificate chain and its unencrypted PEM key"
        ) from exc
    if files.client_ca:
        try:
            context.load_verify_locations(files.client_ca)
        except (OSError, ssl.SSLError) as exc:
            raise SettingsError(
                f"cannot use the client authorities {files.client_ca}: {exc}; "
                "give a file of PEM certificates"
            ) from exc
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _no_password() -> str:
    # Without this, OpenSSL asks on the terminal for the password of an encrypted key.
    raise ValueError("the key is encrypted")


def _signatures(files: TlsFiles) -> tuple[FileStamp | None, ...]:
    return tuple(_signature(path) for path in files.paths())


def _signature(path: str) -> FileStamp | None:
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino
