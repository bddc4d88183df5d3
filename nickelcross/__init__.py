"""nickelcross: the decisions of a sender that delivers calls to many outside destinations."""

from nickelcross.brain import Sender
from nickelcross.interface import Settings

__all__ = ["Sender", "Settings"]
