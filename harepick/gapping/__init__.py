"""Number gapping: at most so many calls an interval to a number or prefix. `docs/design/gapping.md`: what
stands."""

from harepick.gapping.slot_allocation import SlotAllocator, SlotBlock, SlotRequest

__all__ = ["SlotAllocator", "SlotBlock", "SlotRequest"]
