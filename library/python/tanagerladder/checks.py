"""Checks of single values. Each raises ``DocumentError`` with the object and the accepted form."""

import ipaddress
import re

MAX_U32 = 2**32 - 1
MAX_U64 = 2**64 - 1
_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]{0,63}")
_DIGEST = re.compile(r"[0-9a-f]{64}")


class DocumentError(ValueError):
    """The document has a fault; the message names the object."""


def check_name(what, name):
    """Checks an identifier."""
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise DocumentError(f"{what} {name!r}: a name is 1 to 64 of a-z, 0-9, '-', '_', '.'")


def check_number(what, value, least, most):
    """Checks a whole number within bounds."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise DocumentError(f"{what}: {value!r} is not a whole number")
    if not least <= value <= most:
        raise DocumentError(f"{what}: {value} is not within {least} to {most}")


def check_digest(what, digest):
    """Checks the SHA-256 of a token; empty for no token."""
    if digest != "" and not (isinstance(digest, str) and _DIGEST.fullmatch(digest)):
        raise DocumentError(f"{what}: token_sha256 must be 64 lower-case hexadecimal digits")


def check_path(what, path):
    """Checks the path of a probe."""
    plain = isinstance(path, str) and all("!" <= character <= "~" for character in path)
    if not plain or not path.startswith("/"):
        raise DocumentError(f"{what}: probe_path must start with / and be plain ASCII")


def check_address(what, address):
    """Checks ``IP:PORT`` and returns it in its normal form."""
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        parsed = None
    numeric = re.fullmatch(r"[0-9]{1,5}", port) and 1 <= int(port) <= 65535
    if parsed is None or "%" in host or not numeric or bracketed != (parsed.version == 6):
        raise DocumentError(f"{what}: address {address!r} is not IP:PORT")
    return f"[{parsed}]:{int(port)}" if bracketed else f"{parsed}:{int(port)}"
