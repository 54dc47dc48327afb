"""The Raft consensus core as a pure state machine: ticks and messages in; no clock, socket, disk or log."""
