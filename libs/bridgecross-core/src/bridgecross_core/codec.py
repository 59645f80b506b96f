"""Typed values to bytes and back, by ``msgspec``'s MessagePack and JSON."""

from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T")


class CodecError(ValueError):
    """The bytes do not hold a value of the expected type."""


class Codec(Generic[T]):
    """Encodes and decodes one type as MessagePack."""

    def __init__(self, value_type: type[T]) -> None:
        """Prepares the codec.

        Args:
            value_type: A NamedTuple, TypedDict, dataclass or Struct type.
        """
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[T] = msgspec.msgpack.Decoder(
            value_type
        )

    def encode(self, value: T) -> bytes:
        """Returns the value as bytes."""
        return self._encoder.encode(value)

    def decode(self, data: bytes) -> T:
        """Returns the value that the bytes hold.

        Raises:
            CodecError: The bytes are truncated or of another type.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise CodecError(str(error)) from error


def to_json(value: object, *, indent: int = 0) -> str:
    """Returns a value as JSON text.

    Args:
        value: Anything that msgspec can encode.
        indent: Spaces an indented level; 0 gives one line.
    """
    text = msgspec.json.encode(value)
    if indent:
        text = msgspec.json.format(text, indent=indent)
    return text.decode()


def from_json(text: bytes | str, value_type: type[T]) -> T:
    """Returns the typed value that a JSON text holds.

    Raises:
        CodecError: The text is not JSON, or of another type.
    """
    try:
        return msgspec.json.decode(text, type=value_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise CodecError(str(error)) from error


def to_readable_json(value: object, *, indent: int = 0) -> str:
    """Returns a value as JSON in which every field is named.

    ``msgspec`` writes a NamedTuple as an array, which is right between our
    own processes; people and scripts want its field names.
    """
    return to_json(_name_fields(value), indent=indent)


def _name_fields(value: Any) -> Any:
    """Returns a value with each NamedTuple turned into a dict."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {k: _name_fields(v) for k, v in value._asdict().items()}
    if isinstance(value, (list, tuple)):
        return [_name_fields(item) for item in value]
    if isinstance(value, dict):
        return {k: _name_fields(v) for k, v in value.items()}
    return value
