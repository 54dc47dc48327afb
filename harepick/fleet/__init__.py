"""The fleet: coordination of several instances of harepick, and the fault rig that tests it.

The rig is not imported when the program serves the platform (`GW_CONFIG`). Its design:
`docs/design/fleet_rig.md`.
"""
