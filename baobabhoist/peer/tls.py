"""Provide the TLS contexts for links between instances and reload their files."""

from __future__ import annotations

import ssl

from baobabhoist.config.settings import TlsSettings
from baobabhoist.errors import SettingsError
from baobabhoist.gateway.tls import ReloadingTlsContext, TlsFiles


class PeerTls:
    """Hold the TLS contexts of an instance; both ends of a link must present a certificate."""

    def __init__(self, cfg: TlsSettings) -> None:
        self._cfg = cfg
        self._server_tls = ReloadingTlsContext.load(TlsFiles(cfg.certificate, cfg.key, cfg.ca))
        self.client = make_client_context(cfg)

    @property
    def server(self) -> ssl.SSLContext:
        """Return the context for incoming connections on the peer port."""
        return self._server_tls.context

    def reload_if_changed(self) -> bool:
        """Reload changed files for new connections; return whether any file changed."""
        if not self._server_tls.reload_if_changed():
            return False
        self.client = make_client_context(self._cfg)
        return True


def make_client_context(cfg: TlsSettings) -> ssl.SSLContext:
    """Return the context for outgoing connections to peers; raises SettingsError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    # Instances are addressed by IP address and may be replaced at any time, so a peer is
    # authenticated by its certificate authority and not by its host name.
    context.check_hostname = False
    try:
        context.load_cert_chain(cfg.certificate, cfg.key)
        context.load_verify_locations(cfg.ca)
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError(
            f"cannot load {cfg.certificate}, {cfg.key} and {cfg.ca}: {exc}; "
            "provide PEM files of a certificate chain, its key and the trusted authorities"
        ) from exc
    return context
