"""Self-signed certificates for loopback addresses."""

from datetime import UTC, datetime, timedelta
from ipaddress import IPv4Address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

__all__ = ('write_certificate',)

_VALIDITY = timedelta(days=30)


def write_certificate(directory: Path, host: str) -> None:
    """Write a self-signed certificate and its private key as PEM files."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, 'keelgap demo')])
    now = datetime.now(UTC)
    alternative_names = x509.SubjectAlternativeName([
        x509.IPAddress(IPv4Address(host))
    ])
    certificate = (
        x509
        .CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _VALIDITY)
        .not_valid_after(now + _VALIDITY)
        .add_extension(alternative_names, critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (directory / 'certificate.pem').write_bytes(pem)
    (directory / 'certificate.key').write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
