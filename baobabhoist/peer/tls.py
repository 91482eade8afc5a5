"""Hold the TLS contexts between instances and load their files again."""

from __future__ import annotations

import ssl

from baobabhoist.config.settings import TlsSettings
from baobabhoist.errors import SettingsError
from baobabhoist.gateway.tls import ReloadingTlsContext, TlsFiles


class PeerTls:
    """Hold the contexts of an instance; both ends of a link must present a certificate."""

    def __init__(self, cfg: TlsSettings) -> None:
        self._cfg = cfg
        self._listener = ReloadingTlsContext.load(TlsFiles(cfg.certificate, cfg.key, cfg.ca))
        self.client = client_context(cfg)

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context of the peer port."""
        return self._listener.context

    def reload_if_changed(self) -> bool:
        """Load changed files; new connections use them. Tell whether they did change."""
        if not self._listener.reload_if_changed():
            return False
        self.client = client_context(self._cfg)
        return True


def client_context(cfg: TlsSettings) -> ssl.SSLContext:
    """Return the context for connections to peers; raises SettingsError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # Instances are addressed by IP address and replaced at any time, so a peer is authenticated
    # by its authority and not by a host name.
    context.check_hostname = False
    try:
        context.load_cert_chain(cfg.certificate, cfg.key)
        context.load_verify_locations(cfg.ca)
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError(
            f"cannot use {cfg.certificate}, {cfg.key} and {cfg.ca}: {exc}; "
            "give PEM files of a certificate chain, its key and the authorities"
        ) from exc
    return context
