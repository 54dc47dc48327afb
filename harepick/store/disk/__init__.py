"""Durable storage of one replica: an append-only log in segments, snapshots, identity. Blocking; runs in a
thread."""
