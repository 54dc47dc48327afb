"""The replicated store: configuration, its history and the pool views, shared by the instances of a cluster.

Off on the platform, and not imported there. `docs/design/store.md` gives the reasons for its design.
"""
