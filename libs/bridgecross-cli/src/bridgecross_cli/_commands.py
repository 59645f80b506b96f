"""The commands that work with settings and running instances."""

import argparse
import sys
from typing import Any

from bridgecross_cli import cluster_client
from bridgecross_cli import publishing
from bridgecross_core import codec
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_daemon import peer_protocol
from bridgecross_settings import check
from bridgecross_settings import process
from bridgecross_settings import tree
from bridgecross_timeline import events
from bridgecross_timeline import render

EXIT_OK = 0
EXIT_NOT_DONE = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3


def print_findings(error: findings.FindingsError, *, as_json: bool) -> None:
    """Prints all findings."""
    if as_json:
        print(codec.to_json(error.findings, indent=2))
        return
    for finding in error.findings:
        print(finding, file=sys.stderr)
    print(f"{len(error.findings)} finding(s)", file=sys.stderr)


async def check_settings(options: argparse.Namespace) -> int:
    """Validates a settings file and reports every problem."""
    house = check.check_text(
        cluster_client.read_text(options.file), str(options.file)
    )
    _print(options, f"{options.file}: sound", {"house": house.name})
    return EXIT_OK


async def show_settings(options: argparse.Namespace) -> int:
    """Shows a whole settings document, or the effective values of a node."""
    version: int = ids.NO_OFFSET
    if options.file:
        house = check.check_text(
            cluster_client.read_text(options.file), str(options.file)
        )
    else:
        connection = cluster_client.read_connection(options.connect)
        newest = await publishing.read_version(connection, connection.place)
        if newest is None:
            print("no settings are published", file=sys.stderr)
            return EXIT_NOT_DONE
        document = codec.from_json(newest.document, dict[str, Any])
        house = check.check_document(document, f"version {newest.offset}")
        version = newest.offset
    if options.effective:
        return _show_effective(options, house)
    if version != ids.NO_OFFSET:
        print(f"// version {version}: edit and publish with --base {version}")
    print(codec.to_json(house.document, indent=2))
    return EXIT_OK


async def publish_settings(options: argparse.Namespace) -> int:
    """Publishes a settings file and waits until it is in force."""
    house = check.check_text(
        cluster_client.read_text(options.file), str(options.file)
    )
    connection = cluster_client.read_connection(options.connect)
    request = publishing.PublishRequest(
        house, ids.Offset(options.base), options.author, options.summary
    )
    outcome = await publishing.publish(connection, connection.place, request)
    match outcome:
        case publishing.Published():
            return await _report_published(options, connection, outcome)
        case publishing.Conflicted():
            _report_conflict(options, outcome)
        case publishing.PublishOutcomeUnknown():
            text = f"not certain whether it was published: {outcome.reason}"
            _print(options, text, {"outcome": "unknown"})
    return EXIT_NOT_DONE


async def show_status(options: argparse.Namespace) -> int:
    """Shows the status of all instances."""
    connection = cluster_client.read_connection(options.connect)
    results = await cluster_client.call_instances(
        await cluster_client.list_instances(connection),
        peer_protocol.STATUS,
        peer_protocol.StatusRequest(),
    )
    lines = [line for result in results for line in _describe_status(result)]
    _print(options, "\n".join(lines), results)
    healthy = all(a.reply and not a.reply.not_ready for a in results)
    return EXIT_OK if results and healthy else EXIT_NOT_DONE


async def show_owner(options: argparse.Namespace) -> int:
    """Shows the owner of a key according to each instance."""
    connection = cluster_client.read_connection(options.connect)
    results = await cluster_client.call_instances(
        await cluster_client.list_instances(connection),
        peer_protocol.OWNER,
        peer_protocol.OwnerRequest(
            ids.ServiceName(options.service), options.key
        ),
    )
    lines = [_describe_owner(result) for result in results]
    _print(options, "\n".join(lines), results)
    found = any(result.reply and result.reply.found for result in results)
    return EXIT_OK if found else EXIT_NOT_DONE


async def drain_instance(options: argparse.Namespace) -> int:
    """Starts the planned shutdown of one instance."""
    connection = cluster_client.read_connection(options.connect)
    listed = await cluster_client.list_instances(connection)
    name = ids.InstanceId(options.instance)
    if name not in listed:
        known = ", ".join(sorted(listed)) or "none"
        print(f"no instance {name!r}; listed: {known}", file=sys.stderr)
        return EXIT_BAD_INPUT
    results = await cluster_client.call_instances(
        {name: listed[name]}, peer_protocol.DRAIN, peer_protocol.DrainRequest()
    )
    problem = results[0].problem
    text = problem or f"{name} stops; {results[0].reply.in_flight} in flight"
    _print(options, text, results)
    return EXIT_UNREACHABLE if problem else EXIT_OK


async def show_timeline(options: argparse.Namespace) -> int:
    """Shows the events of all instances in causal order."""
    connection = cluster_client.read_connection(options.connect)
    gathered = await cluster_client.gather_timeline(connection)
    for result in gathered.unreachable:
        print(f"{result.instance}: {result.problem}", file=sys.stderr)
    timeline = gathered.events
    if options.kind:
        timeline = [event for event in timeline if event.kind in options.kind]
    if options.html:
        options.html.write_text(render.render_html(timeline), encoding="utf-8")
        print(f"{len(timeline)} events written to {options.html}")
    elif options.json:
        for event in timeline:
            print(codec.to_readable_json(events.to_wire(event)))
    else:
        print(render.render_text(timeline))
    return EXIT_OK


def _show_effective(options: argparse.Namespace, house: tree.House) -> int:
    """Shows the effective fields of a node and the levels that set them."""
    try:
        fields = house.list_effective(options.effective)
    except tree.UnknownPathError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    lines = [
        f"{field.name:<30} {codec.to_json(field.value):<14} {field.origin}"
        for field in fields
    ]
    _print(options, "\n".join(lines), fields)
    return EXIT_OK


async def _report_published(
    options: argparse.Namespace,
    connection: process.ProcessSettings,
    outcome: publishing.Published,
) -> int:
    """Waits until a version is in force and reports it for each instance."""
    statuses = await publishing.wait_until_in_force(
        connection, outcome.version, options.wait_s
    )
    lines = [f"published version {outcome.version}"]
    lines += [f"  changed {path}" for path in outcome.changed_paths]
    lines += [
        f"  {status.instance}: "
        + ("in force" if status.in_force else f"not yet {status.problem}")
        for status in statuses
    ]
    _print(
        options,
        "\n".join(lines),
        {
            "version": outcome.version,
            "changed": outcome.changed_paths,
            "instances": statuses,
        },
    )
    done = all(status.in_force for status in statuses)
    return EXIT_OK if done else EXIT_NOT_DONE


def _report_conflict(
    options: argparse.Namespace, outcome: publishing.Conflicted
) -> None:
    """Reports a conflict with a newer version and how to resolve it."""
    lines = [
        f"not published: version {outcome.newest} by "
        f"{outcome.newest_author or 'nobody'} is newest"
    ]
    if outcome.clashes is None:
        lines.append("  the version that was edited is not known any more")
    else:
        lines += [f"  both changed {path}" for path in outcome.clashes]
        if not outcome.clashes:
            lines.append("  no path was changed by both")
    lines.append(f"  redo the edit on it and use --base {outcome.newest}")
    _print(options, "\n".join(lines), outcome)


def _describe_status(result: cluster_client.CallResult) -> list[str]:
    """Returns the lines that describe an instance's status."""
    if result.reply is None:
        return [f"{result.instance}: {result.problem}"]
    status: peer_protocol.InstanceStatus = result.reply
    state = "; ".join(status.not_ready) or "ready"
    lines = [
        f"{status.instance} ({status.failure_domain}): {state}, "
        f"settings {status.settings_version}, log {status.log_offset} "
        f"({status.log_age_ms} ms ago), {status.in_flight} in flight"
    ]
    for service in status.services:
        servers = ", ".join(
            f"{server.server} {server.health} {server.slices} slices"
            for server in service.servers
        )
        lines.append(
            f"  {service.service}: coordinator {service.coordinator} "
            f"term {service.term}; fronts {servers or 'none'}"
        )
    return lines


def _describe_owner(result: cluster_client.CallResult) -> str:
    """Returns a line with the owner of a key according to one instance."""
    if result.reply is None:
        return f"{result.instance}: {result.problem}"
    owner: peer_protocol.OwnerReply = result.reply
    if not owner.found:
        return f"{result.instance}: the service is unknown or has no slices"
    prior = f", waits for {', '.join(owner.prior)}" if owner.prior else ""
    return (
        f"{result.instance}: slice {owner.slice} is owned by {owner.server} "
        f"by assignment {owner.token} of term {owner.term} "
        f"({owner.coordinator}); front {owner.front} since "
        f"{owner.front_token}{prior}"
    )


def _print(options: argparse.Namespace, text: str, value: object) -> None:
    """Prints a text, or a value as JSON if ``--json`` is set."""
    if options.json:
        text = codec.to_readable_json(value, indent=2)
    print(text)
