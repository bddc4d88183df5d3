"""Helpers of the tests of replication: a message to put into journals."""

from pinspread.core.messages import Message


def message(number, **more):
    return Message(number, f"id{number}", "payment", "all", 1, 0, "", 10**18, b"body", "resp", **more)
