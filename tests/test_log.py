"""The log: the form of its lines, the rate limit per event name, and a queue that never blocks."""

from __future__ import annotations

import os

import orjson

from harepick.log import MAX_LINES_PER_SECOND, MAX_QUEUED_LINES, Log


def test_line_form_and_rate_limit_per_event_name() -> None:
    read, write = os.pipe()
    log = Log("n0", write)
    for number in range(50):
        log.event("often", n=number, odd=object)
    log.event("once", at_work=True)
    log.close()
    os.close(write)
    with os.fdopen(read, "rb") as stream:
        lines = [orjson.loads(line) for line in stream]
    assert len([line for line in lines if line["event"] == "often"]) == MAX_LINES_PER_SECOND
    assert list(lines[0]) == ["at", "event", "name", "n", "odd"] and lines[0]["name"] == "n0"
    assert lines[-1]["event"] == "once" and lines[-1]["at_work"] is True


def test_the_next_line_tells_how_many_were_dropped() -> None:
    read, write = os.pipe()
    log = Log("", write)
    for _ in range(25):
        log.event("often")
    tokens, updated_at, dropped = log._buckets["often"]
    assert dropped == 5
    log._buckets["often"] = (tokens, updated_at - 1.0, dropped)
    log.event("often")
    log.close()
    os.close(write)
    with os.fdopen(read, "rb") as stream:
        assert orjson.loads(stream.read().splitlines()[-1])["left_out"] == 5


def test_a_log_without_a_reader_does_not_block() -> None:
    read, write = os.pipe()
    log = Log("", write)
    for number in range(MAX_QUEUED_LINES + 200):  # the pipe holds 64 KiB, the queue the rest
        log.event(f"e{number}", text="x" * 200)
    log.close(0.05)
    os.close(read)
