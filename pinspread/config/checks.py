"""Finds all problems of an application's file, each with the path of its key.

The models validate each key by itself. Checks that involve several keys are made here, on the raw tables, so
that they are made even if other keys are invalid.
"""

import tomllib
from collections.abc import Iterator
from typing import Any, NamedTuple

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from pinspread.config.models import File, Leases, Members

VOTER_COUNTS = (3, 5)


class Problem(NamedTuple):
    """A problem of a file, with the path of the key that it is about."""

    place: str
    text: str

    def __str__(self) -> str:
        """The line that is shown to the author of the file."""
        return f"{self.place}: {self.text}"


class _Tables:
    """The raw tables of a file; a value that is not a table is treated as an empty one."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self._raw = raw

    def __contains__(self, name: str) -> bool:
        return name in self._raw

    def table(self, name: str) -> dict[str, Any]:
        raw_value = self._raw.get(name)
        return raw_value if isinstance(raw_value, dict) else {}

    def array(self, name: str) -> list[dict[str, Any]]:
        return _tables_in(self._raw.get(name))


def _tables_in(raw_value: object) -> list[dict[str, Any]]:
    return [item for item in raw_value if isinstance(item, dict)] if isinstance(raw_value, list) else []


def problems(text: str) -> list[str]:
    """All problems of a file's text, one line each; empty if it is valid."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return [str(error)]
    model_problems = []
    try:
        File.model_validate(raw)
    except ValidationError as error:
        model_problems = [str(_problem(details)) for details in error.errors()]
    return model_problems + [str(problem) for problem in _cross_checks(_Tables(raw))]


def _problem(details: ErrorDetails) -> Problem:
    return Problem(_path(details["loc"]), details["msg"].removeprefix("Value error, "))


def _path(location: tuple[int | str, ...]) -> str:
    path = ""
    for key in location:
        if isinstance(key, int):
            path += f"[{key}]"
        else:
            path += f".{key}" if path else key
    return path or "file"


def _cross_checks(tables: _Tables) -> Iterator[Problem]:
    """The problems of keys that are valid by themselves, but not together."""
    yield from _check_listen(tables)
    yield from _check_members(tables)
    if "leases" in tables:
        yield from _check_leases(tables)
    if "copies" in tables:
        yield from _check_copies(tables)
    yield from _check_discovery(tables.table("discovery"))
    yield from _check_classes(tables.array("class"))
    for name in ("class", "tenant"):
        yield from _check_unique(name, "name", tables.array(name))


def _listen_addresses(tables: _Tables) -> list[Any]:
    listen = tables.table("listen")
    return [listen.get(name) for name in ("resp", "amqp", "admin")]


def _check_listen(tables: _Tables) -> Iterator[Problem]:
    listen = tables.table("listen")
    if not listen.get("resp") and not listen.get("amqp"):
        yield Problem("listen", "no address to listen on: give resp, amqp or both")
    used = _listen_addresses(tables)
    for n, name in enumerate(("amqp", "admin"), 1):
        if used[n] and used[n] in used[:n]:
            other = ("resp", "amqp")[used.index(used[n])]
            yield Problem(f"listen.{name}", f"{used[n]} is also the address of listen.{other}")
    if listen.get("resp") and "notices" not in tables:
        yield Problem(
            "listen.resp",
            "needs notices.address, to which the final results of its clients' messages are sent",
        )


def _check_members(tables: _Tables) -> Iterator[Problem]:
    members = tables.table("members")
    period_s = _value(members, "period_s", Members)
    timeout_s = _value(members, "timeout_s", Members)
    if _are_numbers(period_s, timeout_s) and timeout_s >= period_s:
        yield Problem(
            "members.timeout_s",
            f"must be less than period_s ({period_s}), to leave time for an indirect probe",
        )
    if members.get("id") and members.get("listen") in _listen_addresses(tables):
        yield Problem("members.listen", "is also an address of [listen]")


def _check_leases(tables: _Tables) -> Iterator[Problem]:
    leases, members = tables.table("leases"), tables.table("members")
    if "members" not in tables:
        yield Problem("leases", "needs [members], whose id, fleet and clock it uses")
    if leases.get("listen") and leases.get("listen") == members.get("listen"):
        yield Problem("leases.listen", f"{leases['listen']} is also the address of [members]")
    yield from _check_lease_times(leases)
    voters = _tables_in(leases.get("voter"))
    if voters and len(voters) not in VOTER_COUNTS:
        yield Problem("leases.voter", f"{len(voters)} voters given, but 3 or 5 are needed")
    yield from _check_unique("leases.voter", "id", voters)
    yield from _check_unique("leases.voter", "address", voters)
    yield from _check_unique("leases.task", "name", _tables_in(leases.get("task")))


def _check_lease_times(leases: dict[str, Any]) -> Iterator[Problem]:
    names = ("lease_s", "renew_s", "retry_s", "drift_s", "margin_s")
    times = [_value(leases, name, Leases) for name in names]
    if not _are_numbers(*times):
        return
    lease_s, renew_s, retry_s, drift_s, margin_s = times
    usable_s = lease_s - drift_s - margin_s
    if renew_s + 2 * retry_s >= usable_s:
        bound = f"lease_s - drift_s - margin_s ({usable_s:g} s)"
        yield Problem("leases.renew_s", f"renew_s + 2 * retry_s must be less than {bound}")


def _check_copies(tables: _Tables) -> Iterator[Problem]:
    copies = tables.table("copies")
    if "leases" not in tables:
        yield Problem(
            "copies", "needs [leases], which decide which node may take over another node's messages"
        )
    others = [tables.table(name).get("listen") for name in ("members", "leases")]
    if copies.get("listen") and copies.get("listen") in others:
        yield Problem("copies.listen", f"{copies['listen']} is also the address of [members] or [leases]")
    count, need = copies.get("count", 2), copies.get("need", 1)
    if isinstance(count, int) and isinstance(need, int) and need > count:
        yield Problem("copies.need", f"{need} is more than count ({count})")


def _check_discovery(discovery: dict[str, Any]) -> Iterator[Problem]:
    if bool(discovery.get("zone_file")) == bool(discovery.get("server")):
        yield Problem("discovery", "give either zone_file or server, but not both")


def _check_classes(classes: list[dict[str, Any]]) -> Iterator[Problem]:
    for n, message_class in enumerate(classes):
        if message_class.get("effect") == "by_key" and not message_class.get("window_s"):
            yield Problem(f"class[{n}].window_s", "must be above 0, since effect is by_key")
        objective_s: Any = message_class.get("aim_s")
        deadline_s: Any = message_class.get("deadline_s")
        if _are_numbers(objective_s, deadline_s) and deadline_s < objective_s:
            yield Problem(f"class[{n}].deadline_s", f"{deadline_s} is less than aim_s ({objective_s})")


def _check_unique(place: str, key: str, items: list[dict[str, Any]]) -> Iterator[Problem]:
    values = [item.get(key) for item in items]
    for n, value in enumerate(values):
        if value is not None and value in values[:n]:
            yield Problem(f"{place}[{n}].{key}", f"{value!r} is used twice")


def _value(table: dict[str, Any], name: str, model: type[Leases] | type[Members]) -> Any:
    """The value of a key, or its default if the file does not have the key."""
    return table.get(name, model.model_fields[name].default)


def _are_numbers(*values: Any) -> bool:
    return all(isinstance(value, int | float) for value in values)
