"""The fleet: coordination of several instances of harepick, and the fault rig that tests it.

The rig is not imported on the platform; `docs/design/fleet_rig.md` explains its design.
"""
