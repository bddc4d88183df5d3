"""pinspread: the decisions of a sender that delivers calls to many outside destinations."""

from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.settings import Settings

__all__ = ["DeliveryPolicy", "Settings"]
