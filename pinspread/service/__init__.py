"""Assembles a process: engine, fronts, transports and discovery; its start, reloads, hand-over and end."""

from pinspread.service.options import ReloadedSettings, ServiceOptions
from pinspread.service.process import Service, serve

__all__ = ["ReloadedSettings", "Service", "ServiceOptions", "serve"]
