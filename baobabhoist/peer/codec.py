"""Encode messages as CBOR and decode them with strict type checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import cattrs
import cbor2

from baobabhoist.errors import CodecError

PROTOCOL_VERSION = 1
ENVELOPE_FIELD_COUNT = 4


@attrs.frozen
class Envelope:
    """Hold a message and its correlation id; an id of 0 means that no reply is expected."""

    correlation_id: int
    message: Any


def _is_type(expected: type) -> Callable[[Any], bool]:
    return lambda other: other is expected


def _structure_exact(expected: type) -> Any:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not expected:
            raise TypeError(f"expected {expected.__name__}, got {type(value).__name__}")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    return float(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    # Predicates match the exact type only; hooks registered by type also apply to string enums.
    for kind in (int, str, bytes, bool):
        converter.register_structure_hook_func(_is_type(kind), _structure_exact(kind))
    converter.register_structure_hook_func(_is_type(float), _structure_float)
    return converter


@attrs.define
class Codec:
    """Encode and decode the message types of one protocol.

    The position of a type in `message_types` is its number on the wire.
    """

    message_types: tuple[type, ...]
    type_numbers: dict[type, int] = attrs.field(init=False)
    converter: cattrs.Converter = attrs.Factory(_make_converter)

    def __attrs_post_init__(self) -> None:
        """Derive the type numbers from the positions in `message_types`."""
        self.type_numbers = {kind: number for number, kind in enumerate(self.message_types)}

    def encode(self, message: Any, correlation_id: int = 0) -> bytes:
        """Encode a message with its type number and correlation id as CBOR."""
        fields = self.converter.unstructure(message)
        return cbor2.dumps(
            [PROTOCOL_VERSION, self.type_numbers[type(message)], correlation_id, fields]
        )

    def decode(self, data: bytes) -> Envelope:
        """Decode an envelope; raises CodecError that names the invalid part."""
        try:
            parts = cbor2.loads(data)
        except Exception as exc:
            raise CodecError(f"message is not valid CBOR: {exc}") from exc
        if not isinstance(parts, list) or len(parts) != ENVELOPE_FIELD_COUNT:
            raise CodecError(
                "message is not a CBOR array of version, type, correlation id and fields"
            )
        version, type_number, correlation_id, fields = parts
        if version != PROTOCOL_VERSION:
            raise CodecError(
                f"unsupported protocol version {version!r}, expected {PROTOCOL_VERSION}"
            )
        if type(type_number) is not int or not 0 <= type_number < len(self.message_types):
            raise CodecError(f"unknown message type {type_number!r}")
        if type(correlation_id) is not int:
            raise CodecError("correlation id is not an integer")
        try:
            message: Any = self.converter.structure(fields, self.message_types[type_number])
        except Exception as exc:
            raise CodecError(
                f"invalid fields in {self.message_types[type_number].__name__}: {exc}"
            ) from exc
        return Envelope(correlation_id, message)
