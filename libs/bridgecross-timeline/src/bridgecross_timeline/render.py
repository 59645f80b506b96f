"""Renders a timeline as text or as one self-contained HTML page."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import datetime
import html

from bridgecross_timeline import events

_MICROSECONDS_PER_SECOND = 1_000_000
_LANE_HEIGHT_PX = 44
_LABEL_WIDTH_PX = 160
_LANE_WIDTH_PX = 1_400
_MARK_RADIUS_PX = 5
_HEADER_PX = 30
_COLOURS = {
    "term": "#7b3294",
    "move": "#d95f02",
    "front": "#1b6ca8",
    "grant": "#1b9e77",
    "lease": "#c51b1b",
    "settings": "#666666",
    "admission": "#e6a700",
    "retry": "#a6761d",
    "drain": "#5f9ea0",
    "drained": "#2f6f70",
    "fault": "#000000",
}


def merge(lanes: Iterable[Iterable[events.Event]]) -> list[events.Event]:
    """Returns the events of all processes in causal order."""
    merged = [event for lane in lanes for event in lane]
    return sorted(merged, key=lambda event: (event.stamp, event.process))


def describe(detail: events.Detail) -> str:
    """Returns the fields of an event as ``name=value`` pairs."""
    fields = dataclasses.asdict(detail)
    return " ".join(f"{name}={value}" for name, value in fields.items())


def render_text(timeline: Sequence[events.Event]) -> str:
    """Returns the timeline as text, with one line per event."""
    lines = []
    for event in timeline:
        time_text = _render_time(event)
        lines.append(
            f"{time_text} {event.process:<14} {event.kind:<9} "
            f"{describe(event.detail)}"
        )
    return "\n".join(lines)


def render_html(timeline: Sequence[events.Event]) -> str:
    """Returns one HTML page with a lane for each process.

    The page needs no other files: the lanes are inline SVG, and each event's
    mark shows its details in a tooltip. A table below lists all events.
    """
    processes = sorted({event.process for event in timeline})
    height = _HEADER_PX + _LANE_HEIGHT_PX * len(processes)
    width = _LABEL_WIDTH_PX + _LANE_WIDTH_PX + 2 * _MARK_RADIUS_PX
    marks = "".join(_draw_marks(timeline, processes))
    lanes = "".join(_draw_lane(i, name) for i, name in enumerate(processes))
    rows = "".join(_render_row(event) for event in timeline)
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'>"
        "<title>bridgecross time line</title><style>"
        "body{font:13px sans-serif;margin:16px}"
        "table{border-collapse:collapse}td{padding:1px 8px;"
        "border-bottom:1px solid #ddd}"
        "svg{background:#fafafa;border:1px solid #ccc}</style>"
        f"<h1>Time line</h1><p>{_render_legend()}</p>"
        f"<svg width='{width}' height='{height}'>{lanes}{marks}</svg>"
        f"<table>{rows}</table></html>\n"
    )


def _render_time(event: events.Event) -> str:
    """Returns an event's wall-clock time and logical counter."""
    time = datetime.datetime.fromtimestamp(
        event.stamp.wall_us / _MICROSECONDS_PER_SECOND, tz=datetime.UTC
    )
    return f"{time:%H:%M:%S.%f}+{event.stamp.logical}"


def _render_legend() -> str:
    """Returns the legend: the colour of each kind of event."""
    return " ".join(
        f"<span style='color:{colour}'>&#9679; {kind}</span>"
        for kind, colour in _COLOURS.items()
    )


def _draw_lane(index: int, process: str) -> str:
    """Returns the line and the label of one process's lane."""
    y = _HEADER_PX + _LANE_HEIGHT_PX * index
    end = _LABEL_WIDTH_PX + _LANE_WIDTH_PX
    return (
        f"<text x='8' y='{y + 4}'>{html.escape(process)}</text>"
        f"<line x1='{_LABEL_WIDTH_PX}' x2='{end}' y1='{y}' y2='{y}' "
        "stroke='#bbb'/>"
    )


def _draw_marks(
    timeline: Sequence[events.Event], processes: list[str]
) -> Iterable[str]:
    """Yields the mark of each event, positioned by time and process."""
    if not timeline:
        return
    start_us = timeline[0].stamp.wall_us
    span_us = max(timeline[-1].stamp.wall_us - start_us, 1)
    for event in timeline:
        fraction = (event.stamp.wall_us - start_us) / span_us
        x = _LABEL_WIDTH_PX + fraction * _LANE_WIDTH_PX
        y = _HEADER_PX + _LANE_HEIGHT_PX * processes.index(event.process)
        title = html.escape(
            f"{_render_time(event)} {event.kind} {describe(event.detail)}"
        )
        yield (
            f"<circle cx='{x:.1f}' cy='{y}' r='{_MARK_RADIUS_PX}' "
            f"fill='{_COLOURS[event.kind]}'><title>{title}</title></circle>"
        )


def _render_row(event: events.Event) -> str:
    """Returns the table row of an event."""
    cells = (
        _render_time(event),
        event.process,
        event.kind,
        describe(event.detail),
    )
    return (
        "<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in cells) + "</tr>"
    )
