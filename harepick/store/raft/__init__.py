"""The consensus core: Raft as a pure state machine. No clock, socket, disk or log; ticks and messages in."""
