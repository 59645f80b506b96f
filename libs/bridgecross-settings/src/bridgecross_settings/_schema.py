"""Builds the JSON Schemas of settings from the types of their fields."""

import copy
from typing import Any

import msgspec

from bridgecross_settings import policy

Schema = dict[str, Any]

_NAME_PATTERN = r"^[a-z][a-z0-9-]*$"
_SHA256_PATTERN = r"^[0-9a-f]{64}$"


def build_house_schema() -> Schema:
    """Returns the schema of a whole house document."""
    tier = _level_schema(
        policy.Level.TIER,
        {"priority": {"type": "integer", "minimum": 1, "maximum": 100}},
        required=["priority"],
    )
    service = _level_schema(
        policy.Level.SERVICE,
        {"tiers": _map_schema(tier)},
        required=["tiers"],
    )
    place = _level_schema(
        policy.Level.PLACE,
        {
            "failure_domains": {
                "type": "array",
                "items": {"type": "string", "pattern": _NAME_PATTERN},
                "minItems": 1,
                "uniqueItems": True,
            },
            "services": _map_schema(service),
        },
        required=["failure_domains", "services"],
    )
    return _level_schema(
        policy.Level.HOUSE,
        {
            "house": {"type": "string", "pattern": _NAME_PATTERN},
            "places": _map_schema(place),
            "callers": _map_schema(_caller_schema()),
        },
        required=["house", "places", "callers"],
    )


def build_dataclass_schema(value_type: type) -> Schema:
    """Returns the schema of a dataclass, without additional fields."""
    _, components = msgspec.json.schema_components([value_type])
    schema: Schema = components[value_type.__name__]
    return schema | {"additionalProperties": False}


def _caller_schema() -> Schema:
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


def _map_schema(schema: Schema) -> Schema:
    """Returns the schema of an object that maps names to ``schema``."""
    return {
        "type": "object",
        "propertyNames": {"pattern": _NAME_PATTERN},
        "additionalProperties": schema,
        "minProperties": 1,
    }


def _level_schema(
    level: policy.Level, own: Schema, required: list[str]
) -> Schema:
    """Returns the schema of a level.

    Args:
        level: The level, which decides what policy fields may be set.
        own: The schemas of the fields that only this level has.
        required: The names of the required fields.
    """
    return {
        "type": "object",
        "properties": own | _policy_schemas(level),
        "required": required,
        "additionalProperties": False,
    }


def _policy_schemas(level: policy.Level) -> Schema:
    """Returns the schemas of the policy fields that a level may set."""
    _, components = msgspec.json.schema_components([policy.Policy])
    properties = copy.deepcopy(components["Policy"]["properties"])
    return {
        name: _without_default(schema)
        for name, schema in properties.items()
        if level <= policy.DEEPEST_LEVELS[name]
    }


def _without_default(schema: Schema) -> Schema:
    """Returns a schema without its default: a missing field is inherited."""
    return {key: value for key, value in schema.items() if key != "default"}
