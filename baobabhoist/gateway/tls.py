"""Build TLS contexts for the listeners and reload their certificates when the files change."""

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

    With `client_ca`, clients must present a certificate signed by one of these authorities.
    """

    certificate: str
    key: str
    client_ca: str = ""

    def paths(self) -> tuple[str, ...]:
        """Return the paths of the configured files."""
        return tuple(path for path in (self.certificate, self.key, self.client_ca) if path)


@attrs.define
class ReloadingTlsContext:
    """Provide the TLS context of a listener and reload its files.

    `context` serves the listener sockets for as long as they are open. In each handshake it
    selects the latest loaded context, so that established connections keep their certificate
    and new ones use the new certificate and the new client authorities.
    """

    files: TlsFiles
    context: ssl.SSLContext
    _current_context: ssl.SSLContext
    _file_stamps: tuple[FileStamp | None, ...]

    @classmethod
    def load(cls, files: TlsFiles) -> ReloadingTlsContext:
        """Load the files; raises a SettingsError that names an unusable file."""
        stamps = _read_file_stamps(files)
        current_context = make_server_context(files)
        # `context` is loaded from the files as well, because its verification settings apply
        # until the handshake has selected the current context.
        reloading = cls(files, make_server_context(files), current_context, stamps)
        reloading.context.sni_callback = reloading._select_current_context
        return reloading

    def reload_if_changed(self) -> bool:
        """Reload the files if one has changed, and return whether new ones are in use.

        If the certificate and the key do not match, the old ones stay in use: an operator may
        have replaced only the first of the two files so far.
        """
        stamps = _read_file_stamps(self.files)
        if stamps == self._file_stamps:
            return False
        try:
            self._current_context = make_server_context(self.files)
        except SettingsError as exc:
            emit(log, Event.TLS_RELOAD_FAILED, path=self.files.certificate, detail=str(exc))
            return False
        self._file_stamps = stamps
        emit(log, Event.TLS_RELOADED, path=self.files.certificate)
        return True

    async def watch(self, interval_s: float = RELOAD_INTERVAL_S) -> None:
        """Check the files for changes at an interval until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            self.reload_if_changed()

    def _select_current_context(
        self, conn: ssl.SSLObject, _name: str | None, _context: ssl.SSLContext
    ) -> None:
        conn.context = self._current_context


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context for a listener; raises SettingsError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # A resumed session would skip the check of the client certificate against new authorities.
    context.options |= ssl.OP_NO_TICKET
    try:
        context.load_cert_chain(files.certificate, files.key, password=_refuse_password)
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


def _refuse_password() -> str:
    # Without a callback, OpenSSL prompts on the terminal for the password of an encrypted key.
    raise ValueError("the key is encrypted")


def _read_file_stamps(files: TlsFiles) -> tuple[FileStamp | None, ...]:
    return tuple(_read_file_stamp(path) for path in files.paths())


def _read_file_stamp(path: str) -> FileStamp | None:
    try:
        info = os.stat(path)
    except OSError:
        return None
    return info.st_mtime_ns, info.st_size, info.st_ino
