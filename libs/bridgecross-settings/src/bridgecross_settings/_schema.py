"""The JSON Schema of the settings document, made from the policy's types."""

import copy
from typing import Any

import msgspec

from bridgecross_settings import policy

Schema = dict[str, Any]

_NAME_PATTERN = r"^[a-z][a-z0-9-]*$"
_SHA256_PATTERN = r"^[0-9a-f]{64}$"


def build_house_schema() -> Schema:
    """Returns the schema of a whole house document."""
    tier = _object(
        policy.Level.TIER,
        {"priority": {"type": "integer", "minimum": 1, "maximum": 100}},
        required=["priority"],
    )
    service = _object(
        policy.Level.SERVICE,
        {"tiers": _named(tier)},
        required=["tiers"],
    )
    place = _object(
        policy.Level.PLACE,
        {
            "failure_domains": {
                "type": "array",
                "items": {"type": "string", "pattern": _NAME_PATTERN},
                "minItems": 1,
                "uniqueItems": True,
            },
            "services": _named(service),
        },
        required=["failure_domains", "services"],
    )
    return _object(
        policy.Level.HOUSE,
        {
            "house": {"type": "string", "pattern": _NAME_PATTERN},
            "places": _named(place),
            "callers": _named(_caller()),
        },
        required=["house", "places", "callers"],
    )


def build_dataclass_schema(value_type: type) -> Schema:
    """Returns the schema of a dataclass; unknown fields are refused."""
    _, components = msgspec.json.schema_components([value_type])
    schema: Schema = components[value_type.__name__]
    return schema | {"additionalProperties": False}


def _caller() -> Schema:
    """Returns the schema of one caller."""
    return {
        "type": "object",
        "properties": {
            "credential_sha256": {
                "type": "string",
                "pattern": _SHA256_PATTERN,
            },
            "tiers": {
                "type": "object",
                "additionalProperties": {"type": "string"},
                "minProperties": 1,
            },
        },
        "required": ["credential_sha256", "tiers"],
        "additionalProperties": False,
    }


def _named(schema: Schema) -> Schema:
    """Returns the schema of an object from names to ``schema``."""
    return {
        "type": "object",
        "propertyNames": {"pattern": _NAME_PATTERN},
        "additionalProperties": schema,
        "minProperties": 1,
    }


def _object(level: policy.Level, own: Schema, required: list[str]) -> Schema:
    """Returns the schema of a level: its own fields and the policy's."""
    return {
        "type": "object",
        "properties": own | _policy_properties(level),
        "required": required,
        "additionalProperties": False,
    }


def _policy_properties(level: policy.Level) -> Schema:
    """Returns the schemas of the policy fields that a level may set."""
    _, components = msgspec.json.schema_components([policy.Policy])
    properties = copy.deepcopy(components["Policy"]["properties"])
    return {
        name: _without_default(schema)
        for name, schema in properties.items()
        if level <= policy.DEEPEST_LEVELS[name]
    }


def _without_default(schema: Schema) -> Schema:
    """Returns the schema without the default, which inheritance decides."""
    return {key: value for key, value in schema.items() if key != "default"}
