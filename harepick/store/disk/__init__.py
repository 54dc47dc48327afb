"""Durable storage of one replica: a segmented append-only log, snapshots and the identity.

All calls block, so they run in a worker thread.
"""
