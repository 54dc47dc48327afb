"""The replicated store: configuration, its history and the pool view, shared by the instances of one cluster.

Off on the platform, and not imported there. `docs/design/store.md` tells why it is as it is.
"""
