"""Number gapping: limits the calls to a number or prefix to a count per interval. Design:
`docs/design/gapping.md`."""

from harepick.gapping.slot_allocation import SlotAllocator, SlotBlock, SlotRequest

__all__ = ["SlotAllocator", "SlotBlock", "SlotRequest"]
