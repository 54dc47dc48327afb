"""The fleet: what several instances of harepick do together, and the rig that shows it under faults.

Off on the platform, and not imported there. `docs/design/fleet_rig.md` tells why the rig is as it is.
"""
