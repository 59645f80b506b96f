from bridgecross_request import error_answers
from bridgecross_request import poison_requests

SUBJECT = poison_requests.Fingerprint(b"s" * 16)


def test_an_error_counts_once_its_server_answers_a_later_request():
    errors = error_answers.ErrorAnswers()
    errors.record_error("a", SUBJECT, 2.0)
    assert errors.pop_confirmed("a", 1.9) == []
    assert errors.pop_confirmed("b", 3.0) == []
    assert errors.pop_confirmed("a", 2.0) == [
        poison_requests.Answer(SUBJECT, 2.0)
    ]
    assert errors.pop_confirmed("a", 3.0) == []


def test_an_error_of_a_server_that_ended_never_counts():
    errors = error_answers.ErrorAnswers()
    errors.record_error("a", SUBJECT, 2.0)
    errors.forget("a")
    assert errors.pop_confirmed("a", 3.0) == []


def test_errors_are_bounded():
    errors = error_answers.ErrorAnswers()
    for number in range(1_000):
        subject = poison_requests.Fingerprint(number.to_bytes(16, "big"))
        errors.record_error("a", subject, 1.0)
        errors.record_error(f"server-{number}", subject, 1.0)
    kept = [
        errors.pop_confirmed(server, 2.0)
        for server in ("a", *(f"server-{number}" for number in range(1_000)))
    ]
    assert sum(map(bool, kept)) <= 128
    assert max(map(len, kept)) <= 32
