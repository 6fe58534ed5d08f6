"""The list of tests that may fail: it passes over just these, and can't hide anything else."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.known_red import KnownRed, read

ROOT = Path(__file__).resolve().parents[2]
TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""


def run(tmp_path: Path, lines: str, tests: str = TESTS) -> tuple[int, str]:
    """The test command's own call on a folder of its own: exit status and what it prints."""
    (tmp_path / "test_sample.py").write_text(tests)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "KNOWN-RED.txt").write_text(lines)
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "tests.support.known_red",
        "-p",
        "no:cacheprovider",
    ]
    command += ["--known-red", str(tmp_path / "KNOWN-RED.txt"), "--rootdir", str(tmp_path), str(tmp_path)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False, timeout=60)
    return done.returncode, done.stdout + done.stderr


def test_only_the_test_named_may_fail_and_it_is_printed(tmp_path):
    status, said = run(tmp_path, "test_sample.py::test_red | pytest --seed 5 | the socket is lost | 23\n")
    assert status == 0
    description = "the socket is lost (play it with `pytest --seed 5`; issue 23)"
    assert f"KNOWN RED test_sample.py::test_red: {description}" in said
    two = TESTS + TESTS.replace("red", "other")
    status, said = run(
        tmp_path, "test_sample.py::test_red | pytest --seed 5 | the socket is lost | 23\n", two
    )
    assert status == 1 and "test_other" in said


def test_a_test_named_that_passes_fails_the_command(tmp_path):
    status, said = run(
        tmp_path, "test_sample.py::test_green | pytest | was mended | 23\n", "def test_green(): pass\n"
    )
    assert status == 1 and "XPASS(strict)" in said


def test_a_line_that_names_no_test_fails_the_command(tmp_path):
    status, said = run(tmp_path, "test_sample.py::test_gone | pytest | was mended | 23\n")
    assert status != 0 and "test_sample.py::test_gone names no test" in said


def test_the_command_reads_the_list_of_this_repository():
    assert "tests.support.known_red --known-red KNOWN-RED.txt" in (ROOT / "tests" / "run.sh").read_text()


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("a | b | c | 3\n" * 4, "4 tests are named"),
        ("a | b\n", "expected"),
        ("a | b | 3\n", "expected"),
        ("a | b | | 3\n", "expected"),
        ("a | | c | 3\n", "expected"),
        ("a | b | c | 3\na | b | d | 4\n", "twice"),
    ],
)
def test_a_list_that_says_too_little_or_too_much_is_refused(text, why):
    with pytest.raises(ValueError, match=why):
        read(text)


def test_a_list_is_read():
    assert read("\na | b | c | 23\n") == [KnownRed("a", "b", "c", "23")]
