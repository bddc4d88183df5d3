"""pinspread: the decisions of a sender that delivers calls to many outside destinations."""

from pinspread.decide import Sender
from pinspread.interface import Settings

__all__ = ["Sender", "Settings"]
