"""Number gapping: at most so many calls an interval to a number or prefix. `docs/design/gapping.md`: what
stands."""

from harepick.gapping.shares import Allotment, Ask, Block

__all__ = ["Allotment", "Ask", "Block"]
