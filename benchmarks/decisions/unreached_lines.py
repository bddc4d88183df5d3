"""Finds the lines of the policy that no recording reaches."""

import ast
import sys
from pathlib import Path

import decision_recordings

POLICY_FOLDER = Path(decision_recordings.__file__).parents[1] / "pinspread" / "policy"


def print_unreached_lines():
    """Print the lines of the policy that no recording reaches, except lines that run at import."""
    for file, reached in reached_lines().items():
        source = Path(file).read_text()
        lines = executable_lines(source, file)
        unreached = sorted(lines - reached)
        print(f"{Path(file).name}: {len(lines) - len(unreached)} of {len(lines)} lines reached")
        for line in unreached:
            print(f"{line}: {source.splitlines()[line - 1].strip()}")


def reached_lines():
    """Return, for each file of the policy, the lines that a replay of all recordings runs."""
    files = {str(file): set() for file in sorted(POLICY_FOLDER.glob("*.py"))}

    def trace(frame, *_):
        reached = files.get(frame.f_code.co_filename)
        if reached is None:
            return None
        reached.add(frame.f_lineno)
        return trace

    names = sorted(path.name.removesuffix(".gz") for path in decision_recordings.RECORDINGS.glob("*.gz"))
    sys.settrace(trace)
    for name in names:
        decision_recordings.replay(name)
    sys.settrace(None)
    return files


def executable_lines(source, file):
    """Return the executable lines of a file's functions, without the first line of each function."""
    lines, codes = set(), [compile(source, file, "exec")]
    classes = {node.name for node in ast.parse(source).body if isinstance(node, ast.ClassDef)}
    while codes:
        code = codes.pop()
        codes += [constant for constant in code.co_consts if hasattr(constant, "co_lines")]
        if code.co_name not in classes | {"<module>"}:
            lines |= {line for _, _, line in code.co_lines() if line and line != code.co_firstlineno}
    return lines
