"""Assembles a process (engine, fronts, transports, discovery) and runs it from its start to its end."""

from pinspread.service.options import ReloadedSettings, ServiceOptions
from pinspread.service.process import Service, serve

__all__ = ["ReloadedSettings", "Service", "ServiceOptions", "serve"]
