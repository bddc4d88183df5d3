"""Recompute the lists of lint exceptions in pyproject.toml.

Usage: `python tools/lint_exceptions.py [--check | --rebase]`.

Files that break rules of ruff, modules that mypy's strict mode rejects, and imports against the layers each
stand in a list between two marker comments. The lists only ever shrink: without an option, entries that are
no longer needed are removed, and new ones are refused (exit code 1, pyproject.toml left as it was), except
that those of a file that has gone pay for as many of the same rule elsewhere, so that a file may be moved.
`--check` writes nothing and exits with 1 if a list is not exactly what the tree needs. `--rebase` writes
what the tree needs, new entries included; it is for moves that split files, and its result is to be read
before it is committed.

Run it with the interpreter that has the pinned tools: they are taken from the folder of `sys.executable`.
"""

import argparse
import json
import re
import subprocess
import sys
import tempfile
import tomllib
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[1]
PYPROJECT = ROOT / "pyproject.toml"
TOOLS = Path(sys.executable).parent
# Exit codes of a tool that ran to its end: nothing found, something found.
COMPLETED = (0, 1)


class ToolError(Exception):
    """A tool did not run to its end, or a list could not be found."""


class Entry(NamedTuple):
    """One exception: `rule` is not applied to `subject`."""

    subject: str
    rule: str


class ExceptionList(ABC):
    """A list of exceptions between two marker comments of pyproject.toml."""

    name: str

    @abstractmethod
    def parse(self, block: str) -> set[Entry]:
        """The entries that stand in a block of pyproject.toml."""

    @abstractmethod
    def render(self, entries: Iterable[Entry]) -> str:
        """The block for these entries, one line each subject."""

    @abstractmethod
    def needed(self, config: Path) -> set[Entry]:
        """The entries that the tree needs, by a run of the tool with a configuration without exceptions."""

    @abstractmethod
    def exists(self, subject: str) -> bool:
        """Whether the tree still holds this subject."""

    @property
    def pattern(self) -> re.Pattern[str]:
        """Matches the markers and what stands between them, as groups `begin`, `block` and `end`."""
        return re.compile(
            rf"(?P<begin>^ *# begin of {self.name} exceptions.*\n)(?P<block>(?:.*\n)*?)"
            rf"(?P<end> *# end of {self.name} exceptions\n)",
            re.MULTILINE,
        )

    def read(self, text: str) -> set[Entry]:
        """The entries in the text of pyproject.toml."""
        if not (match := self.pattern.search(text)):
            raise ToolError(f"no markers of {self.name} exceptions in {PYPROJECT}")
        return self.parse(match["block"])

    def write(self, text: str, entries: Iterable[Entry]) -> str:
        """The text of pyproject.toml with other entries."""
        return self.pattern.sub(lambda match: match["begin"] + self.render(entries) + match["end"], text)


class RuffExceptions(ExceptionList):
    """Rules that a file breaks: lines of `per-file-ignores`."""

    name = "ruff"

    def parse(self, block: str) -> set[Entry]:
        """Each line names a file and its rules."""
        return {Entry(file, rule) for file, rules in tomllib.loads(block).items() for rule in rules}

    def render(self, entries: Iterable[Entry]) -> str:
        """One line each file."""
        rules = defaultdict(list)
        for file, rule in sorted(entries):
            rules[file].append(f'"{rule}"')
        return "".join(f'"{file}" = [{", ".join(codes)}]\n' for file, codes in rules.items())

    def needed(self, config: Path) -> set[Entry]:
        """Run ruff without exceptions."""
        output = run("ruff", "check", ".", "--no-cache", "--output-format=json", "--config", str(config))
        found = {(message["filename"], message["code"]) for message in json.loads(output)}
        return {Entry(Path(file).relative_to(ROOT).as_posix(), rule) for file, rule in found}

    def exists(self, subject: str) -> bool:
        """Whether the file is there."""
        return (ROOT / subject).exists()


class ListedStrings(ExceptionList):
    """Exceptions that are strings in an array of pyproject.toml, all of one rule."""

    def parse(self, block: str) -> set[Entry]:
        """Each line is a string of an array."""
        return {Entry(subject, self.name) for subject in tomllib.loads(f"block = [\n{block}]")["block"]}

    def render(self, entries: Iterable[Entry]) -> str:
        """One line each string."""
        return "".join(f'    "{entry.subject}",\n' for entry in sorted(entries))


class MypyExceptions(ListedStrings):
    """Modules with type errors."""

    name = "mypy"

    def needed(self, config: Path) -> set[Entry]:
        """Run mypy without exceptions."""
        output = run("mypy", "--output=json", "--config-file", str(config))
        messages = [json.loads(line) for line in output.splitlines() if line.startswith("{")]
        files = {message["file"] for message in messages if message["severity"] == "error"}
        return {Entry(module_name(file), self.name) for file in files}

    def exists(self, subject: str) -> bool:
        """Whether the module is there."""
        return module_exists(subject)


class ImportExceptions(ListedStrings):
    """Imports against the layers, each as `importer -> imported`."""

    name = "import"

    def needed(self, config: Path) -> set[Entry]:
        """Run import-linter without exceptions."""
        output = run("lint-imports", "--no-cache", "--no-logo", "--config", str(config))
        # Of a chain of imports the first one is enough: its lines after that are indented.
        return {Entry(found, self.name) for found in re.findall(r"^- *(\S+ -> \S+)", output, re.MULTILINE)}

    def exists(self, subject: str) -> bool:
        """Whether both modules are there."""
        return all(module_exists(module) for module in subject.split(" -> "))


LISTS: tuple[ExceptionList, ...] = (RuffExceptions(), MypyExceptions(), ImportExceptions())


def module_name(file: str) -> str:
    """The dotted name of the module that a file, relative to the root, holds."""
    parts = Path(file).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def module_exists(module: str) -> bool:
    """Whether the tree holds a module or package of this name."""
    path = ROOT.joinpath(*module.split("."))
    return path.with_suffix(".py").exists() or (path / "__init__.py").exists()


def run(tool: str, *arguments: str) -> str:
    """What a tool prints, run in the root of the tree.

    Raises:
        ToolError: It failed for another reason than findings.
    """
    done = subprocess.run([TOOLS / tool, *arguments], cwd=ROOT, capture_output=True, text=True, check=False)
    if done.returncode not in COMPLETED:
        raise ToolError(f"{tool} exited with {done.returncode}:\n{done.stdout}{done.stderr}")
    return done.stdout


def needed_entries(text: str) -> dict[ExceptionList, set[Entry]]:
    """What each list has to hold for the tree as it is, given the text of pyproject.toml."""
    for exceptions in LISTS:
        text = exceptions.write(text, ())
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "pyproject.toml"
        config.write_text(text)
        return {exceptions: exceptions.needed(config) for exceptions in LISTS}


def refused(exceptions: ExceptionList, listed: set[Entry], needed: set[Entry]) -> list[Entry]:
    """The new entries that no entry of the same rule for a subject that has gone pays for."""
    paid = Counter(entry.rule for entry in listed - needed if not exceptions.exists(entry.subject))
    too_many = []
    for entry in sorted(needed - listed):
        if paid[entry.rule]:
            paid[entry.rule] -= 1
        else:
            too_many.append(entry)
    return too_many


def report(name: str, entries: Iterable[Entry], what: str) -> int:
    """Print entries, and return how many there are."""
    lines = [f"{name} exception {what}: {entry.subject} ({entry.rule})" for entry in sorted(entries)]
    print("\n".join(lines), file=sys.stderr, end="\n" if lines else "")
    return len(lines)


def check(text: str) -> int:
    """Compare the lists with the tree; the exit code."""
    differences = 0
    for exceptions, needed in needed_entries(text).items():
        listed = exceptions.read(text)
        differences += report(exceptions.name, listed - needed, "no longer needed")
        differences += report(exceptions.name, needed - listed, "not in the list")
    return min(differences, 1)


def rewrite(text: str, rebase: bool) -> int:
    """Bring the lists to what the tree needs; the exit code."""
    problems = 0
    for exceptions, needed in needed_entries(text).items():
        listed = exceptions.read(text)
        if not rebase:
            problems += report(exceptions.name, refused(exceptions, listed, needed), "refused, as it is new")
        text = exceptions.write(text, needed)
        print(f"{exceptions.name}: {len(listed)} entries before, {len(needed)} now")
    if problems:
        return 1
    PYPROJECT.write_text(text)
    return 0


def main(arguments: list[str]) -> int:
    """Check or rewrite the lists; the exit code."""
    parser = argparse.ArgumentParser(description="Recompute the lists of lint exceptions in pyproject.toml.")
    modes = parser.add_mutually_exclusive_group()
    modes.add_argument(
        "--check", action="store_true", help="write nothing; exit with 1 if a list is not exact"
    )
    modes.add_argument("--rebase", action="store_true", help="allow new entries")
    options = parser.parse_args(arguments)
    text = PYPROJECT.read_text()
    return check(text) if options.check else rewrite(text, options.rebase)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
