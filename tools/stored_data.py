"""Write the stored data that tests compare with: `python tools/stored_data.py NAME...`, from the root.

It was run before names in the code changed, and what it wrote is the record of those versions' bytes. Run it
for a form that is new; a file that is there already is left alone, for the tests hold the code to it. Names:
`journal`, ... as in `WRITERS`. Inputs and the adapter to the code's names stand in `tests/stored.py`.
"""

import json
import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1]), str(Path(__file__).parents[1] / "tests")]

import stored  # noqa: E402


def put(path: Path, data: bytes):
    """Write a file that is not there yet."""
    if path.exists():
        print(f"{path}: is there already, left as it is")
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)
    print(f"{path}: {len(data)} bytes")


def put_json(path: Path, value):
    """The same for a value."""
    put(path, json.dumps(value, indent=1, ensure_ascii=False, sort_keys=True).encode() + b"\n")


def journal():
    """The courier's journal, and what each file is read to."""
    with tempfile.TemporaryDirectory() as folder:
        expected = {}
        for name, data in stored.journals(folder).items():
            put(stored.DATA / "journal" / name, data)
            (Path(folder) / "journal").write_bytes(data)
            expected[name] = stored.content(folder)
        put_json(stored.DATA / "journal.expected.json", expected)


WRITERS = {"journal": journal}

if __name__ == "__main__":
    for name in sys.argv[1:]:
        WRITERS[name]()
