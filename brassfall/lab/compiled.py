"""The decision module and the simulation compiled to machine code, where mypyc and a C compiler are there.

The same sources, the same results to the last byte, in less than half the time. A tree with the
compiled files is made once for each content of the sources and kept in the user's cache folder.
"""

from __future__ import annotations

import contextlib
import hashlib
import importlib.util
import os
import shutil
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from brassfall.settings import SettingsError

SOURCES = (
    "brassfall/lab/models/client.py",
    "brassfall/lab/models/network.py",
    "brassfall/lab/models/server.py",
    "brassfall/lab/sim/defects.py",
    "brassfall/lab/sim/lists.py",
    "brassfall/lab/sim/parts.py",
    "brassfall/lab/sim/sidecar.py",
    "brassfall/lab/sim/world.py",
)
# The decision modules of this revision and, last, of earlier ones; those that are there are compiled.
MODULE = (
    "affinity.py",
    "balancer.py",
    "components.py",
    "connections.py",
    "discovery_backoff.py",
    "ejection.py",
    "endpoints.py",
    "events.py",
    "json_section.py",
    "key_queues.py",
    "learning.py",
    "load_shedding.py",
    "model.py",
    "overload.py",
    "pace.py",
    "rates.py",
    "records.py",
    "retries.py",
    "selection.py",
    "settings.py",
    "slow_start.py",
    "steering.py",
    "throttle.py",
    "zones.py",
    "shedding.py",
)
LIMIT_S = 600.0
WITHOUT = "Install mypy and a C compiler, or take `compiled` out: the results are the same, and take longer."


def tree(root: Path, code: Path, say: Callable[[str], None]) -> Path:
    """The folder with this program's lab and the decision module of `code`, compiled.

    `SettingsError` if it can't be made; takes about a minute the first time.
    """
    if importlib.util.find_spec("mypyc") is None:
        raise SettingsError("experiment.compiled", "mypyc is not installed", WITHOUT)
    if not any(shutil.which(name) for name in ("cc", "gcc", "clang")):
        raise SettingsError("experiment.compiled", "there is no C compiler", WITHOUT)
    decisions = code / "brassfall" / "balancer"
    if not decisions.is_dir():
        raise SettingsError("experiment.compiled", "a revision has no folder brassfall/balancer", WITHOUT)
    module = [f"brassfall/balancer/{name}" for name in MODULE if (decisions / name).exists()]
    cache = Path(os.environ.get("XDG_CACHE_HOME") or Path.home() / ".cache") / "brassfall" / "compiled"
    folder = cache / _digest(root, code)
    if folder.exists():
        return folder
    say("compiling the simulation, about a minute the first time")
    part = folder.with_suffix(f".{os.getpid()}")
    shutil.rmtree(part, ignore_errors=True)
    ignore = shutil.ignore_patterns("__pycache__", "*.so")
    shutil.copytree(root / "brassfall", part / "brassfall", ignore=ignore)
    shutil.rmtree(part / "brassfall" / "balancer")
    shutil.copytree(decisions, part / "brassfall" / "balancer", ignore=ignore)
    command = [sys.executable, "-m", "mypyc", *SOURCES, *module]
    try:
        made = subprocess.run(command, cwd=part, capture_output=True, text=True, timeout=LIMIT_S)
        if made.returncode:
            lines = (made.stdout + made.stderr).strip().splitlines()
            raise SettingsError("experiment.compiled", lines[-1] if lines else "mypyc failed", WITHOUT)
        shutil.rmtree(part / "build", ignore_errors=True)
        with contextlib.suppress(OSError):  # another lab was faster with the same
            part.replace(folder)
    finally:
        shutil.rmtree(part, ignore_errors=True)
    return folder


def _digest(root: Path, code: Path) -> str:
    """What the sources are, and who compiles them."""
    found = hashlib.blake2b(sys.version.encode(), digest_size=16)
    for base, package in ((root, "brassfall"), (code, "brassfall/balancer")):
        for path in sorted((base / package).rglob("*.py")):
            found.update(f"{path.relative_to(base)}\0".encode())
            found.update(path.read_bytes())
    return found.hexdigest()
