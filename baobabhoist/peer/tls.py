"""Build the TLS contexts between instances and load their certificates again."""

from __future__ import annotations

import logging
import ssl
from pathlib import Path
from typing import Protocol

from baobabhoist.peer.mesh import TlsContexts

log = logging.getLogger(__name__)


class TlsFiles(Protocol):
    """Name the PEM files of an instance; `ca` signs the certificates of its peers."""

    @property
    def certificate(self) -> str:
        """Return the path of the certificate chain."""

    @property
    def key(self) -> str:
        """Return the path of the private key."""

    @property
    def ca(self) -> str:
        """Return the path of the authorities' certificates."""


class PeerTls:
    """Hold the contexts of an instance; both ends of a link must present a certificate."""

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self._seen = self._stamps()
        server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Instances are addressed by IP address and replaced at any time, so a peer is
        # authenticated by its authority and not by a host name.
        client.check_hostname = False
        for context in (server, client):
            context.minimum_version = ssl.TLSVersion.TLSv1_2
            context.verify_mode = ssl.CERT_REQUIRED
        self.contexts = TlsContexts(server, client)
        self._load()

    def reload_if_changed(self) -> bool:
        """Load the files again if one changed; new connections use them. Tell whether."""
        try:
            stamps = self._stamps()
            if stamps == self._seen:
                return False
            self._load()
        except (OSError, ssl.SSLError) as exc:
            log.warning("cannot load the certificate %s: %s", self._files.certificate, exc)
            return False
        self._seen = stamps
        log.info("the certificate %s was loaded again", self._files.certificate)
        return True

    def _load(self) -> None:
        for context in (self.contexts.server, self.contexts.client):
            context.load_cert_chain(self._files.certificate, self._files.key)
            context.load_verify_locations(self._files.ca)

    def _stamps(self) -> tuple[int, ...]:
        names = (self._files.certificate, self._files.key, self._files.ca)
        return tuple(Path(name).stat().st_mtime_ns for name in names)
