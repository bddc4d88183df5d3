"""Applies variants: the delivery policy with other constants, or another version of it.

Another version runs in its own processes, in which its source texts replace `pinspread.policy` before the
model is loaded. This module must therefore not import the policy or the model at its top level.
"""

import importlib
import importlib.abc
import importlib.util
import sys
from collections.abc import Mapping, Sequence
from importlib.machinery import ModuleSpec
from types import ModuleType, TracebackType
from typing import Any

from pinspread.simulation.policy_sources import PolicySources, VariantError, constant_aliases, is_legacy

# Modules of the model that refer to classes of the policy once they are loaded.
POLICY_USERS = (
    "simulate",
    "instance",
    "outgoing_call",
    "endpoint_directory",
    "fault_injection",
    "policy_settings",
    "destination",
    "endpoint",
    "rules",
    "metrics",
)
POLICY = "pinspread.policy"


class _SourceFinder(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Imports the modules of `pinspread.policy` from a version's source texts."""

    def __init__(self, sources: PolicySources):
        self.sources = sources

    def find_spec(
        self, fullname: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        package, _, name = fullname.rpartition(".")
        if fullname == POLICY:
            return importlib.util.spec_from_loader(fullname, self, is_package=True)
        if package == POLICY and name in self.sources:
            return importlib.util.spec_from_loader(fullname, self)
        return None

    def is_package(self, fullname: str) -> bool:
        return fullname == POLICY

    def get_source(self, fullname: str) -> str:
        name = "__init__" if self.is_package(fullname) else fullname.rpartition(".")[2]
        return self.sources.get(name, "")


def install_sources(sources: PolicySources | None) -> None:
    """Make this process use a version's source texts; with None it keeps the current version.

    Raises:
        VariantError: The model is already loaded, and refers to classes of the current version.
    """
    if sources is None:
        return
    loaded = [name for name in POLICY_USERS if f"pinspread.simulation.{name}" in sys.modules]
    if loaded:
        raise VariantError(
            f"cannot use another policy version: pinspread.simulation.{loaded[0]} is already loaded"
        )
    if is_legacy(sources):
        importlib.import_module("pinspread.simulation.legacy_policy").install(sources)
        return
    # Importing the package has loaded the current version; no other module that uses it is loaded yet.
    for name in [name for name in sys.modules if name.startswith(POLICY)]:
        del sys.modules[name]
    sys.meta_path.insert(0, _SourceFinder(sources))


class ConstantOverrides:
    """A context manager that gives the policy's constants the values of a variant.

    Args:
        values: Values by the constant's name, or by a former name of it.
    """

    def __init__(self, values: Mapping[str, Any]):
        self.values = values
        self._replaced: list[tuple[ModuleType, str, Any]] = []  # (module, constant, original value)

    def __enter__(self) -> None:
        """Set the constants in all modules that have them."""
        importlib.import_module(f"{POLICY}.delivery_policy")  # which imports all parts of the policy
        modules = [module for name, module in sys.modules.items() if name.startswith(f"{POLICY}.")]
        for key, value in self.values.items():
            aliases = constant_aliases(key)
            name = next(name for name in aliases if any(hasattr(module, name) for module in modules))
            # A module that imports a constant has its own reference to it.
            for module in [module for module in modules if hasattr(module, name)]:
                self._replaced.append((module, name, getattr(module, name)))
                setattr(module, name, tuple(value) if isinstance(value, list) else value)

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Restore the constants."""
        for module, name, value in self._replaced:
            setattr(module, name, value)
