"""pinspread: a courier that accepts messages and delivers each to an endpoint of its destination."""

from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.settings import Settings

__all__ = ["DeliveryPolicy", "Settings"]
