"""Variants in force: the delivery policy with other constants, or of another version.

Another version runs in processes of its own, in which its text takes the place of `pinspread.policy` before
the model is loaded; so this module must not import the policy or the model at its top.
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

# Modules of the model that hold classes of the policy once they are loaded.
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
    """Imports the modules of `pinspread.policy` from a version's texts."""

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
    """Have this process use a version's texts; None leaves the present version in force.

    Raises:
        VariantError: The model has been loaded already, and holds classes of the present version.
    """
    if sources is None:
        return
    loaded = [name for name in POLICY_USERS if f"pinspread.simulation.{name}" in sys.modules]
    if loaded:
        raise VariantError(f"pinspread.simulation.{loaded[0]} is loaded already")
    if is_legacy(sources):
        importlib.import_module("pinspread.simulation.legacy_policy").install(sources)
        return
    # The package itself has loaded today's version; nothing else that uses it has been loaded yet.
    for name in [name for name in sys.modules if name.startswith(POLICY)]:
        del sys.modules[name]
    sys.meta_path.insert(0, _SourceFinder(sources))


class ConstantOverrides:
    """A context manager in which the policy's constants have a variant's values.

    Args:
        values: Values by the constant's name, or by what an experiment's file calls it.
    """

    def __init__(self, values: Mapping[str, Any]):
        self.values = values
        self._replaced: list[tuple[ModuleType, str, Any]] = []  # (module, constant, its own value)

    def __enter__(self) -> None:
        """Set the constants in all modules that have them."""
        importlib.import_module(f"{POLICY}.delivery_policy")  # and with it all of its parts
        modules = [module for name, module in sys.modules.items() if name.startswith(f"{POLICY}.")]
        for key, value in self.values.items():
            aliases = constant_aliases(key)
            name = next(name for name in aliases if any(hasattr(module, name) for module in modules))
            # A module that imports a constant has a name of its own for it.
            for module in [module for module in modules if hasattr(module, name)]:
                self._replaced.append((module, name, getattr(module, name)))
                setattr(module, name, tuple(value) if isinstance(value, list) else value)

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Set the constants back."""
        for module, name, value in self._replaced:
            setattr(module, name, value)
