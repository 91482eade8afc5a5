"""Encode messages as CBOR and decode them strictly."""

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
    """Carry a message with its correlation id; id 0 means that no reply is expected."""

    correlation_id: int
    message: Any


def _is(kind: type) -> Callable[[Any], bool]:
    return lambda other: other is kind


def _strict(kind: type) -> Any:
    def structure(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f"expected {kind.__name__}, got {type(value).__name__}")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    return float(value)


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    # Hooks by predicate match the exact type; hooks by type would also catch enums of strings.
    for kind in (int, str, bytes, bool):
        converter.register_structure_hook_func(_is(kind), _strict(kind))
    converter.register_structure_hook_func(_is(float), _structure_float)
    return converter


@attrs.define
class Codec:
    """Encode and decode the message types of one protocol."""

    message_types: tuple[type, ...]
    type_numbers: dict[type, int] = attrs.field(init=False)
    converter: cattrs.Converter = attrs.Factory(_converter)

    def __attrs_post_init__(self) -> None:
        """Derive the type numbers; a position in `message_types` is part of the protocol."""
        self.type_numbers = {kind: tag for tag, kind in enumerate(self.message_types)}

    def encode(self, message: Any, correlation_id: int = 0) -> bytes:
        """Return the message as CBOR."""
        fields = self.converter.unstructure(message)
        return cbor2.dumps(
            [PROTOCOL_VERSION, self.type_numbers[type(message)], correlation_id, fields]
        )

    def decode(self, data: bytes) -> Envelope:
        """Return the envelope in the data, or raise CodecError naming what is wrong."""
        try:
            parts = cbor2.loads(data)
        except Exception as exc:
            raise CodecError(f"not a CBOR message: {exc}") from exc
        if not isinstance(parts, list) or len(parts) != ENVELOPE_FIELD_COUNT:
            raise CodecError(
                "a message is a CBOR array of version, type, correlation id and fields"
            )
        version, tag, correlation_id, fields = parts
        if version != PROTOCOL_VERSION:
            raise CodecError(f"protocol version {version!r} is not {PROTOCOL_VERSION}")
        if type(tag) is not int or not 0 <= tag < len(self.message_types):
            raise CodecError(f"unknown message type {tag!r}")
        if type(correlation_id) is not int:
            raise CodecError("the correlation id is not a whole number")
        try:
            message: Any = self.converter.structure(fields, self.message_types[tag])
        except Exception as exc:
            raise CodecError(f"bad fields in {self.message_types[tag].__name__}: {exc}") from exc
        return Envelope(correlation_id, message)
