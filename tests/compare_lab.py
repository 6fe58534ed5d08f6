"""Whether two revisions play simulated experiments to the same bytes. A script, not a test:

    python tests/compare_lab.py BEFORE [AFTER] [--geo]

Each revision is unpacked into a folder of its own (AFTER is the working tree where it isn't named) and
plays the experiments below with its own `lab run`: every kind of fault, every injected defect, and steering
over far zones. All rows, verdicts and reports are compared byte by byte; with `--geo` those of `lab geo` for
one seed as well, which takes some minutes. Exit status 1 where anything differs.
"""

from __future__ import annotations

import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEFECTS = (
    "notice-twice", "drops-answer", "answers-late", "ignores-drain", "crosses-keys", "crosses-answers",
    "loses-on-reset", "floods-cold", "goes-on", "invents", "refuses-what-ran",
)  # fmt: skip
FAULTS = """
[[faults]]
kind = "release"
at = "2 s"
for = "9 s"
part = 0.5
drain = "3 s"
[[faults]]
kind = "kill"
at = ["3 s", "6 s"]
for = "3 s"
part = 0.2
[[faults]]
kind = "stop"
at = "4 s"
for = "1 s"
part = 0.2
[[faults]]
kind = "slow"
at = "1 s"
for = "4 s"
part = 0.2
size = 4.0
[[faults]]
kind = "neighbour"
at = "5 s"
for = "5 s"
part = 0.3
size = 0.5
swing = "1 s"
[[faults]]
kind = "errors"
at = "7 s"
for = "2 s"
part = 0.3
size = 0.3
[[faults]]
kind = "reset"
at = "8 s"
part = 0.5
[[faults]]
kind = "black-hole"
at = "2 s"
for = "2 s"
part = 0.2
[[faults]]
kind = "lose-answers"
at = "5 s"
for = "1 s"
part = 0.2
[[faults]]
kind = "slow-link"
at = "6 s"
for = "2 s"
part = 0.3
size = 40.0
[[faults]]
kind = "cut"
at = "9 s"
for = "1 s"
zone = "brest"
[[faults]]
kind = "registry-down"
at = "3 s"
for = "2 s"
disk = "lost"
[[faults]]
kind = "sidecar-kill"
at = "6 s"
for = "1 s"
part = 0.4
"""
HEAD = '[experiment]\nname = "{name}"\nmode = "simulated"\nfor = "12 s"\nrepeats = 2\nworkers = 4\n'
FLEET = "[load]\nshare = 0.8\nswing = 0.2\n[fleet]\nservers = 12\nsidecars = 4\n"
GEOGRAPHY = """
[[geography.groups]]
name = "west"
zone = "rennes"
delays = { rennes = "2 ms", brest = ["30 ms", "40 ms"] }
[[geography.groups]]
name = "east"
zone = "brest"
delays = { rennes = "25 ms", brest = "3 ms" }
[[geography.changes]]
at = "5 s"
group = "west"
delays = { rennes = "60 ms" }
[[versions]]
name = "off"
[[versions]]
name = "true"
steer = "true"
look = 0.01
[[versions]]
name = "held"
steer = "fixed"
shares = { west = { rennes = 0.7, brest = 0.3 }, east = { brest = 1.0 } }
holds = [{ zone = "rennes", from = "4 s", to = "7 s" }]
"""
EXPERIMENTS = {
    "faults": HEAD.format(name="faults")
    + FLEET
    + '[[measure]]\nname = "m"\nfrom = "2 s"\nto = "6 s"\n'
    + FAULTS
    + '[[versions]]\nname = "now"\n'
    + "".join(f'[[versions]]\nname = "{name}"\nflaw = "{name}"\n' for name in DEFECTS),
    "drawn": HEAD.format(name="drawn") + FLEET + "[drawn]\ncount = 4\n",
    "geography": HEAD.format(name="geography") + FLEET + GEOGRAPHY,
}
COMPARED = ("*.jsonl", "*.md")


def unpack(revision: str, folder: Path) -> Path:
    """A revision's package in a folder."""
    archive = folder / "revision.tar"
    subprocess.run(["git", "archive", "-o", str(archive), revision, "brassfall"], cwd=ROOT, check=True)
    with tarfile.open(archive) as tar:
        tar.extractall(folder, filter="data")
    return folder


def play(tree: Path, out: Path, geo: bool) -> dict[str, bytes]:
    """What the program in a folder writes of all experiments, by file."""
    for name, text in EXPERIMENTS.items():
        file = out / f"{name}.toml"
        file.write_text(text)
        run(tree, "lab", "run", str(file), "--out", str(out / name))
    if geo:
        run(tree, "lab", "geo", "--seeds", "1", "--workers", "4", "--out", str(out / "geo"))
    found = [path for pattern in COMPARED for path in out.rglob(pattern)]
    return {str(path.relative_to(out)): path.read_bytes() for path in found}


def run(tree: Path, *words: str) -> None:
    """One command; 1 is the status of a play whose ledger shows broken rules."""
    done = subprocess.run(
        [sys.executable, "-m", "brassfall", *words], cwd=tree, capture_output=True, text=True
    )
    if done.returncode not in (0, 1):
        sys.exit(f"{tree}: {' '.join(words)}: {done.stderr}")


def main(arguments: list[str]) -> int:
    """Compare; 0 where all is the same."""
    revisions = [word for word in arguments if word != "--geo"]
    with tempfile.TemporaryDirectory() as folder:
        sides = []
        for number, revision in enumerate([*revisions, None][:2]):
            tree, out = Path(folder) / f"tree{number}", Path(folder) / f"out{number}"
            tree.mkdir()
            out.mkdir()
            sides.append(play(unpack(revision, tree) if revision else ROOT, out, "--geo" in arguments))
    old, new = sides
    differ = sorted(name for name in old.keys() | new.keys() if old.get(name) != new.get(name))
    print(f"{len(new)} files, {sum(map(len, new.values()))} bytes: {differ or 'all the same'}")
    return 1 if differ else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
