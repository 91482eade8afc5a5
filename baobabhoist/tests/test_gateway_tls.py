"""Test the TLS listeners and the reload of their certificates."""

import asyncio
import ssl

import pytest
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from baobabhoist.cli.client import Client, UnreachableError
from baobabhoist.errors import SettingsError
from baobabhoist.gateway.server import HttpLimits, make_http_server
from baobabhoist.gateway.tls import ReloadingTlsContext, TlsFiles
from baobabhoist.tests.certificates import Authority

REQUEST = b"GET / HTTP/1.1\r\nHost: here\r\n\r\n"


class Hello(RequestHandler):
    def get(self):
        self.finish("hello")


def client_context(ca, identity=None, version=ssl.TLSVersion.TLSv1_3):
    context = ssl.create_default_context(cafile=ca)
    context.maximum_version = version
    if identity is not None:
        context.load_cert_chain(*identity)
    return context


async def fetch_status_line(reader, writer):
    """Send a request and return the status line of the response."""
    writer.write(REQUEST)
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len("hello"))
    return head.split(b"\r\n")[0].decode()


async def connect(port, context):
    return await asyncio.open_connection("127.0.0.1", port, ssl=context)


def peer_common_name(writer):
    return dict(pair[0] for pair in writer.get_extra_info("peercert")["subject"])["commonName"]


@pytest.fixture
def files(tmp_path):
    authority = Authority("servers")
    certificate, key = tmp_path / "server.pem", tmp_path / "server.key"
    authority.issue("first", certificate, key)
    return authority, certificate, key, authority.write(tmp_path / "ca.pem")


def run_with_server(tls, body):
    async def run():
        sock, port = bind_unused_port()
        server = make_http_server(Application([("/", Hello)]), HttpLimits(), tls.context)
        server.add_sockets([sock])
        try:
            await body(port)
        finally:
            server.stop()
            await server.close_all_connections()

    asyncio.run(run())


def test_replaced_certificate_serves_new_connections_and_keeps_old_ones(files):
    """Guard against a reload that drops connections or has no effect.

    A client that does not trust the certificate must report an unreachable instance, not a usage
    error.
    """
    authority, certificate, key, ca = files
    tls = ReloadingTlsContext.load(TlsFiles(str(certificate), str(key)))
    context = client_context(ca)

    async def body(port):
        old = await connect(port, context)
        assert peer_common_name(old[1]) == "first"
        authority.issue("second", certificate, key)
        assert tls.reload_if_changed()
        assert not tls.reload_if_changed()
        new = await connect(port, context)
        assert peer_common_name(new[1]) == "second"
        assert await fetch_status_line(*old) == await fetch_status_line(*new) == "HTTP/1.1 200 OK"
        for _, writer in (old, new):
            writer.close()

        untrusting_client = Client(f"https://127.0.0.1:{port}", "X-Team-Key")
        with pytest.raises(UnreachableError, match="certificate verify failed") as caught:
            await asyncio.to_thread(untrusting_client.send, "GET", "/")
        assert not caught.value.possibly_received

    run_with_server(tls, body)


def test_mismatched_certificate_and_key_leave_the_old_ones_in_use(files, tmp_path):
    """Guard against a listener that fails because only one of two files was replaced."""
    authority, certificate, key, ca = files
    tls = ReloadingTlsContext.load(TlsFiles(str(certificate), str(key)))
    new_key = tmp_path / "new.key"
    authority.issue("second", certificate, new_key)
    assert not tls.reload_if_changed()

    async def body(port):
        _, writer = await connect(port, client_context(ca))
        assert peer_common_name(writer) == "first"
        writer.close()
        new_key.rename(key)
        assert tls.reload_if_changed()
        _, writer = await connect(port, client_context(ca))
        assert peer_common_name(writer) == "second"
        writer.close()

    run_with_server(tls, body)


@pytest.mark.parametrize("version", [ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3])
def test_client_certificates_are_checked_against_the_newest_authorities(files, tmp_path, version):
    """Guard against access without a certificate or with one of a removed authority."""
    _, certificate, key, ca = files
    old, new = Authority("old clients"), Authority("new clients")
    clients = tmp_path / "clients.pem"
    old.write(clients)
    old_identity = old.issue("old", tmp_path / "old.pem", tmp_path / "old.key")
    new_identity = new.issue("new", tmp_path / "new.pem", tmp_path / "new.key")
    tls = ReloadingTlsContext.load(TlsFiles(str(certificate), str(key), str(clients)))

    async def is_accepted(port, identity):
        try:
            reader, writer = await connect(port, client_context(ca, identity, version))
            status = await fetch_status_line(reader, writer)
        except (ssl.SSLError, ConnectionError, asyncio.IncompleteReadError):
            return False
        writer.close()
        return status == "HTTP/1.1 200 OK"

    async def body(port):
        assert not await is_accepted(port, None)
        assert await is_accepted(port, old_identity)
        assert not await is_accepted(port, new_identity)
        new.write(clients)
        assert tls.reload_if_changed()
        assert await is_accepted(port, new_identity)
        assert not await is_accepted(port, old_identity)

    run_with_server(tls, body)


def test_errors_name_the_unusable_file(files, tmp_path):
    """Guard against an error that does not tell the operator which file is wrong."""
    _, certificate, key, _ = files
    bad = tmp_path / "bad.pem"
    bad.write_text("no certificate")
    with pytest.raises(SettingsError, match=r"bad\.pem"):
        ReloadingTlsContext.load(TlsFiles(str(bad), str(key)))
    with pytest.raises(SettingsError, match=r"bad\.pem"):
        ReloadingTlsContext.load(TlsFiles(str(certificate), str(key), str(bad)))
    with pytest.raises(SettingsError, match=r"missing\.key"):
        ReloadingTlsContext.load(TlsFiles(str(certificate), str(tmp_path / "missing.key")))
