"""The log's lines: their form, the bound for each event name, and a queue that never blocks."""

from __future__ import annotations

import os

import orjson

from harepick.log import LINES_A_SECOND, QUEUE, Log


def test_a_line_has_its_form_and_a_name_its_share() -> None:
    read, write = os.pipe()
    log = Log("n0", write)
    for n in range(50):
        log.event("often", n=n, odd=object)
    log.event("once", at_work=True)
    log.close()
    os.close(write)
    with os.fdopen(read, "rb") as stream:
        lines = [orjson.loads(line) for line in stream]
    assert len([line for line in lines if line["event"] == "often"]) == LINES_A_SECOND
    assert list(lines[0]) == ["at", "event", "name", "n", "odd"] and lines[0]["name"] == "n0"
    assert lines[-1]["event"] == "once" and lines[-1]["at_work"] is True


def test_what_was_left_out_is_told_with_the_next_line() -> None:
    read, write = os.pipe()
    log = Log("", write)
    for _ in range(25):
        log.event("often")
    tokens, when, left_out = log._allowance["often"]
    assert left_out == 5
    log._allowance["often"] = (tokens, when - 1.0, left_out)
    log.event("often")
    log.close()
    os.close(write)
    with os.fdopen(read, "rb") as stream:
        assert orjson.loads(stream.read().splitlines()[-1])["left_out"] == 5


def test_a_log_that_nobody_reads_blocks_nobody() -> None:
    read, write = os.pipe()
    log = Log("", write)
    for n in range(QUEUE + 200):  # the pipe takes 64 KiB, the queue the rest
        log.event(f"e{n}", text="x" * 200)
    log.close(0.05)
    os.close(read)
