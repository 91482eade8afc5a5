"""Issue certificates for tests."""

import datetime
import ipaddress

import attrs
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

NOT_BEFORE = datetime.datetime(2020, 1, 1)
NOT_AFTER = datetime.datetime(2100, 1, 1)


def _x509_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


@attrs.frozen
class Authority:
    """Sign certificates for 127.0.0.1 and write them to files."""

    name: str
    key: ec.EllipticCurvePrivateKey = attrs.Factory(
        lambda: ec.generate_private_key(ec.SECP256R1())
    )

    def write(self, path):
        """Write the self-signed certificate of the authority."""
        builder = self._builder(self.name, self.key.public_key()).add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        _write_certificate(path, builder.sign(self.key, hashes.SHA256()))
        return str(path)

    def issue(self, subject, certificate, key):
        """Issue a certificate and write it and its key."""
        private_key = ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = self._builder(subject, private_key.public_key()).add_extension(
            x509.SubjectAlternativeName([address]), critical=False
        )
        _write_certificate(certificate, builder.sign(self.key, hashes.SHA256()))
        key.write_bytes(
            private_key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(certificate), str(key)

    def _builder(self, subject, public_key):
        return (
            x509.CertificateBuilder()
            .subject_name(_x509_name(subject))
            .issuer_name(_x509_name(self.name))
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(NOT_BEFORE)
            .not_valid_after(NOT_AFTER)
        )


def _write_certificate(path, certificate):
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
