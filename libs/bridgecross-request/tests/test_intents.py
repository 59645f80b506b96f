from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_log import appender
from bridgecross_log import records
from bridgecross_log import service
from bridgecross_request import intents

INTENT = intents.Intent(ids.ServiceName("kapama"), "demir", "order-1")


class _Verdicts:
    """A fake appender that collects verdicts."""

    def __init__(self) -> None:
        self.by_id: dict[str, appender.Verdict] = {}

    def report(self, record_id: str, verdict: appender.Verdict) -> None:
        self.by_id[record_id] = verdict


def _make_registry(
    capacity: int = 10,
) -> tuple[intents.IntentRegistry, _Verdicts]:
    registry = intents.IntentRegistry(intents.IntentRegistrySettings(capacity))
    verdicts = _Verdicts()
    registry.attach(verdicts)  # type: ignore[arg-type]
    return registry, verdicts


def _apply(registry, offset: int, kind: str, body: bytes) -> None:
    envelope = records.Envelope(
        f"r{offset}", kind, "entry-1", hybrid_clock.Timestamp(0, 0), body
    )
    data = records.encode_envelope(envelope)
    registry.apply(service.StoredRecord(ids.Offset(offset), data))


def _ask(registry, offset: int, intent: intents.Intent = INTENT) -> None:
    _apply(
        registry, offset, intents.INTENT_KIND, intents._INTENTS.encode(intent)
    )


def _return(registry, offset: int, won_at: int) -> None:
    returned = intents.IntentReturn(*INTENT, ids.Offset(won_at))
    _apply(
        registry, offset, intents.RETURN_KIND, intents._RETURNS.encode(returned)
    )


def test_the_first_intent_wins_on_every_reader():
    for _ in range(2):
        registry, verdicts = _make_registry()
        _ask(registry, 0)
        _ask(registry, 1)
        _ask(registry, 2, INTENT._replace(caller="aydin"))
        kinds = [type(v) for v in verdicts.by_id.values()]
        assert kinds == [appender.Applied, appender.Void, appender.Applied]


def test_a_right_that_was_given_back_can_be_won_again():
    registry, verdicts = _make_registry()
    _ask(registry, 0)
    _return(registry, 1, won_at=0)
    _ask(registry, 2)
    assert isinstance(verdicts.by_id["r2"], appender.Applied)


def test_only_the_winner_gives_a_right_back():
    registry, verdicts = _make_registry()
    _ask(registry, 0)
    _return(registry, 1, won_at=5)
    _ask(registry, 2)
    assert isinstance(verdicts.by_id["r1"], appender.Void)
    assert isinstance(verdicts.by_id["r2"], appender.Void)


def test_a_damaged_record_grants_no_right():
    registry, verdicts = _make_registry()
    registry.apply(service.StoredRecord(ids.Offset(0), b"\x00torn"))
    _apply(registry, 1, intents.INTENT_KIND, b"\x00torn")
    assert verdicts.by_id == {}
