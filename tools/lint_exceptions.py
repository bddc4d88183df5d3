"""Recompute the lists of lint exceptions in pyproject.toml.

Usage: `python tools/lint_exceptions.py [--check | --rebase]`.

There are three lists, each between two marker comments: files that break rules of ruff, modules that mypy's
strict mode rejects, and imports that break the order of the layers. The lists only ever shrink: without an
option, entries that are no longer needed are removed, and new ones are refused (exit code 1, pyproject.toml
left as it was). As an exception, each entry of a file that no longer exists allows one new entry of the same
rule elsewhere, so that a file may be moved. `--check` writes nothing and exits with 1 if a list is not
exactly what the tree needs. `--rebase` writes what the tree needs, new entries included; it is for moves
that split files, and its result is to be reviewed before it is committed.

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
# Exit codes of a tool that completed: without findings, with findings.
COMPLETED = (0, 1)


class ToolError(Exception):
    """A tool failed, or a list was not found in pyproject.toml."""


class Entry(NamedTuple):
    """One exception: `rule` is not applied to `subject`."""

    subject: str
    rule: str


class ExceptionList(ABC):
    """A list of exceptions between two marker comments of pyproject.toml."""

    name: str

    @abstractmethod
    def parse(self, block: str) -> set[Entry]:
        """The entries in a block of pyproject.toml."""

    @abstractmethod
    def render(self, entries: Iterable[Entry]) -> str:
        """The block for these entries, with one line per subject."""

    @abstractmethod
    def needed(self, config: Path) -> set[Entry]:
        """The entries that the tree needs: what the tool finds with a configuration without exceptions."""

    @abstractmethod
    def exists(self, subject: str) -> bool:
        """Whether the tree still holds this subject."""

    @property
    def pattern(self) -> re.Pattern[str]:
        """Matches the markers and the text between them, as groups `begin`, `block` and `end`."""
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
        """One line per file."""
        rules = defaultdict(list)
        for file, rule in sorted(entries):
            rules[file].append(f'"{rule}"')
        return "".join(f'"{file}" = [{", ".join(codes)}]\n' for file, codes in rules.items())

    def needed(self, config: Path) -> set[Entry]:
        """Run ruff without exceptions."""
        output = run("ruff", "check", ".", "--no-cache", "--output-format=json", "--config", str(config))
        violations = {(message["filename"], message["code"]) for message in json.loads(output)}
        return {Entry(Path(file).relative_to(ROOT).as_posix(), rule) for file, rule in violations}

    def exists(self, subject: str) -> bool:
        """Whether the file is there."""
        return (ROOT / subject).exists()


class ListedStrings(ExceptionList):
    """Exceptions that are strings in an array of pyproject.toml, all of one rule."""

    def parse(self, block: str) -> set[Entry]:
        """Each line is a string of an array."""
        return {Entry(subject, self.name) for subject in tomllib.loads(f"block = [\n{block}]")["block"]}

    def render(self, entries: Iterable[Entry]) -> str:
        """One line per string."""
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
    """Imports that break the order of the layers, each as `importer -> imported`."""

    name = "import"

    def needed(self, config: Path) -> set[Entry]:
        """Run import-linter without exceptions."""
        output = run("lint-imports", "--no-cache", "--no-logo", "--config", str(config))
        # Of a chain of imports only the first is listed; the lines of the others are indented.
        return {Entry(chain, self.name) for chain in re.findall(r"^- *(\S+ -> \S+)", output, re.MULTILINE)}

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
    """Run a tool in the root of the tree, and return what it prints.

    Raises:
        ToolError: The tool failed, and not because of findings.
    """
    process = subprocess.run(
        [TOOLS / tool, *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    if process.returncode not in COMPLETED:
        raise ToolError(f"{tool} exited with {process.returncode}:\n{process.stdout}{process.stderr}")
    return process.stdout


def needed_entries(text: str) -> dict[ExceptionList, set[Entry]]:
    """Return the entries that each list needs for the present tree, given the text of pyproject.toml."""
    for exceptions in LISTS:
        text = exceptions.write(text, ())
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "pyproject.toml"
        config.write_text(text)
        return {exceptions: exceptions.needed(config) for exceptions in LISTS}


def refused(exceptions: ExceptionList, listed: set[Entry], needed: set[Entry]) -> list[Entry]:
    """Return the new entries that are refused.

    Each listed entry whose subject no longer exists allows one new entry of the same rule.
    """
    allowed = Counter(entry.rule for entry in listed - needed if not exceptions.exists(entry.subject))
    refused_entries = []
    for entry in sorted(needed - listed):
        if allowed[entry.rule]:
            allowed[entry.rule] -= 1
        else:
            refused_entries.append(entry)
    return refused_entries


def report(name: str, entries: Iterable[Entry], problem: str) -> int:
    """Print entries, and return how many there are."""
    lines = [f"{name} exception {problem}: {entry.subject} ({entry.rule})" for entry in sorted(entries)]
    print("\n".join(lines), file=sys.stderr, end="\n" if lines else "")
    return len(lines)


def check(text: str) -> int:
    """Compare the lists with the tree; return the exit code."""
    differences = 0
    for exceptions, needed in needed_entries(text).items():
        listed = exceptions.read(text)
        differences += report(exceptions.name, listed - needed, "no longer needed")
        differences += report(exceptions.name, needed - listed, "not in the list")
    return min(differences, 1)


def rewrite(text: str, rebase: bool) -> int:
    """Rewrite the lists to what the tree needs; return the exit code."""
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
    """Check or rewrite the lists; return the exit code."""
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
