"""Encodes typed values as MessagePack or JSON with ``msgspec``."""

from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T")


class CodecError(ValueError):
    """The data does not decode to a value of the expected type."""


class Codec(Generic[T]):
    """Encodes and decodes one type as MessagePack."""

    def __init__(self, value_type: type[T]) -> None:
        """Initializes the codec.

        Args:
            value_type: A NamedTuple, TypedDict, dataclass or Struct type.
        """
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(
            value_type
        )

    def encode(self, value: T) -> bytes:
        """Returns the encoded value."""
        return self._encoder.encode(value)

    def decode(self, data: bytes) -> T:
        """Returns the decoded value.

        Raises:
            CodecError: The data is truncated or of another type.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise CodecError(str(error)) from error


def to_json(value: object, *, indent: int = 0) -> str:
    """Returns a value as JSON text.

    Args:
        value: Anything that msgspec can encode.
        indent: Spaces per indentation level; 0 puts everything on one line.
    """
    text = msgspec.json.encode(value)
    if indent:
        text = msgspec.json.format(text, indent=indent)
    return text.decode()


def from_json(text: bytes | str, value_type: type[T]) -> T:
    """Returns the typed value that a JSON text represents.

    Raises:
        CodecError: The text is not JSON, or its value is of another type.
    """
    try:
        return msgspec.json.decode(text, type=value_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CodecError(str(error)) from error


def to_readable_json(value: object, *, indent: int = 0) -> str:
    """Returns a value as JSON, with NamedTuples as objects.

    ``msgspec`` encodes a NamedTuple as an array, which is compact between our
    own processes; output for people and scripts needs the field names.
    """
    return to_json(_name_fields(value), indent=indent)


def _name_fields(value: Any) -> Any:
    """Returns a copy of a value with each NamedTuple converted to a dict."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {k: _name_fields(v) for k, v in value._asdict().items()}
    if isinstance(value, (list, tuple)):
        return [_name_fields(item) for item in value]
    if isinstance(value, dict):
        return {k: _name_fields(v) for k, v in value.items()}
    return value
