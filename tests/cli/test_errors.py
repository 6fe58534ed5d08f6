"""Errors that reach an operator: a type, what happened, why, and what can be done."""

from __future__ import annotations

import pickle
import socket
import threading
from contextlib import contextmanager

import pytest
from typer.testing import CliRunner

from brassfall import errors, logs
from brassfall.cli import main as cli
from tests.support import error_page


@pytest.mark.parametrize("action", [None, "", "  ", "look"])
def test_an_error_type_without_advice_of_its_own_can_not_be_written(action):
    with pytest.raises(TypeError, match="Careless"):
        type("Careless", (errors.RequestError,), {} if action is None else {"action": action})


def test_an_error_is_one_line_with_all_its_parts_and_comes_whole_from_another_process():
    made = pickle.loads(
        pickle.dumps(errors.RateLimitError("10.0.0.1 was put\noff", "2,100 calls", retry_s=2.5))
    )
    assert str(made) == f"10.0.0.1 was put off: 2,100 calls. {errors.RateLimitError.action}"
    assert made.wire() == {"error": "too many calls", "reason": str(made)}
    assert (made.status, made.retry_s, made.summary) == (429, 2.5, "10.0.0.1 was put off: 2,100 calls")
    assert str(errors.UsageError("--at.", action="Name HOST:PORT.")) == "--at. Name HOST:PORT."


def test_every_error_type_has_an_action_and_the_page_lists_it_and_no_other():
    kinds = error_page.error_types()
    assert len(kinds) > 20
    for name, kind in kinds.items():
        assert getattr(kind, "action", "").strip(), f"{name}: what can an operator do?"
        # The sidecar and the simulator's adapter run without the packages that the root of errors needs.
        if not name.startswith(("brassfall.sidecar.", "brassfall.simulator.")):
            assert issubclass(kind, errors.BrassfallError), name
    wanted, listed = {error_page.row(name, kind) for name, kind in kinds.items()}, error_page.listed_rows()
    assert (sorted(wanted - listed), sorted(listed - wanted)) == ([], [])  # missing rows, stale rows


SERVICE = '[registry]\nlisten = "127.0.0.1:0"\ndata = "d"\n'
PLAY = '[experiment]\nname = "t"\nmode = "simulated"\nfor = "2 s"\n[load]\nshare = 0.5\n'
VERSION = PLAY + '[[versions]]\nname = "v"\n'
FILES = {
    "text.toml": b"\xff\xfe",
    "deep.toml": b"a = " + b"[" * 100_000,
    "digits.toml": SERVICE + "batch = " + "9" * 5000,
    "array.toml": "registry = []",
    "host.toml": SERVICE.replace("127.0.0.1:0", "a..b:1"),
    "nul.toml": SERVICE.replace('"d"', '"a\\u0000"'),
    "inf.toml": PLAY.replace("2 s", "1e999 s"),
    "years.toml": PLAY.replace("2 s", "9999999 min"),
    "dots.toml": PLAY.replace("2 s", "1.2.3 s"),
    "replay.toml": PLAY.replace("share = 0.5", 'replay = "a\\u0000"'),
    "arrivals.toml": PLAY.replace("share = 0.5", 'replay = "text.toml"'),
    "revision.toml": VERSION + 'revision = "a\\u0000"\n',
    "settings.toml": VERSION + "settings = { Profiles = 3 }\n",
    "play.toml": PLAY,
    "torn/experiment.toml": "= 1",
    "cut/experiment.toml": PLAY,
    "cut/plays.jsonl": "{",
    "cut/plays/now-1/result.json": "[]",
    "odd/experiment.toml": "experiment = 1",
    "odd/plays.jsonl": "",
    "bare/x": "",
}
RUN = ("lab", "run", "{}/play.toml", "--out")
LIST = ("registry", "list", "--at")
# What is asked for, the exit status, and what the one line says. {} is a folder with FILES.
BAD = [
    *((("check", "{}/" + name), 2, name) for name in ("none", "bare", "text.toml", "deep.toml")),
    *((("check", "{}/" + name), 2, name) for name in ("digits.toml", "array.toml", "host.toml", "nul.toml")),
    (("check", "{}/years.toml"), 2, "experiment.for"),
    (("check", "{}/inf.toml"), 2, "out of range"),
    (("check", "{}/dots.toml"), 2, "1.2.3"),
    (("registry", "serve", "--config", "{}/host.toml"), 2, "a..b:1"),
    (("lab", "run", "{}/replay.toml", "--out", "{}/o"), 2, "null byte"),
    (("lab", "run", "{}/arrivals.toml", "--out", "{}/o"), 2, "text.toml: line 1"),
    (("lab", "run", "{}/revision.toml", "--out", "{}/o"), 2, "no revision"),
    (("lab", "run", "{}/settings.toml", "--out", "{}/o"), 2, "versions[0].settings"),
    ((*RUN, "{}/torn"), 2, "torn/experiment.toml"),
    ((*RUN, "{}/cut"), 2, "result.json"),
    ((*RUN, "{}/bare"), 2, "not an empty folder"),
    ((*RUN, "/dev/null/x"), 2, "Not a directory"),
    (("lab", "compare", "{}/none"), 2, "none/experiment.toml"),
    (("lab", "compare", "{}/torn"), 2, "torn/experiment.toml"),
    (("lab", "compare", "{}/cut"), 2, "cut/plays.jsonl"),
    (("lab", "compare", "{}/odd", "{}/odd"), 2, "one version only"),
    *(((*LIST, at), 2, "--at") for at in ("", ":80", "a:", "a:99999", "a..b:1", "u@h:80", "a b:80")),
    *(((*LIST, at), 2, "--at") for at in ("a/b:80", "[::1:80", "a:" + "9" * 5000, "x" * 64 + ":80")),
    ((*LIST, "{closed}"), 1, "{closed}"),
    ((*LIST, "{odd}"), 1, "unexpected form"),
    (("registry", "watch", "--at", "{odd}"), 1, "unexpected form"),
    (("registry", "leave", "--at", "{odd}", "s1"), 1, "unexpected form"),
    (("registry", "register", "--at", "{odd}", "s1", "127.0.0.1:1"), 1, "unexpected form"),
    (("registry", "register", "--at", "{closed}", "a/b", "127.0.0.1:1"), 2, "a/b"),
    (("registry", "bench", "--seconds", "nan"), 2, "--seconds"),
    (("lab", "agreement", "--nodes", "3,x"), 2, "--nodes"),
    (("lab", "agreement", "--flaw", "odd"), 2, "--flaw"),
    (("lab", "geo", "--out", "/dev/null/x"), 1, "Not a directory"),
    (("lab", "server", "s", "--registry", "nowhere"), 2, "--registry"),
    (("lab", "server", "s", "--registry", "{closed}", "--listen", "{odd}"), 1, "in use"),
    (("lab", "server", "s", "--registry", "{closed}", "--ledger", "{}/bare"), 1, "Is a directory"),
]  # fmt: skip


@contextmanager
def another_program():
    """Something that listens and speaks HTTP, but is no list service; where."""
    with socket.create_server(("127.0.0.1", 0)) as listening:

        def serve():
            while True:
                try:
                    far, _ = listening.accept()
                except OSError:
                    return
                with far:
                    far.recv(65_536)
                    far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]")

        threading.Thread(target=serve, daemon=True).start()
        yield f"127.0.0.1:{listening.getsockname()[1]}"
        listening.shutdown(socket.SHUT_RDWR)


def test_bad_input_at_any_command_is_one_line_that_says_what_can_be_done(tmp_path, monkeypatch):
    monkeypatch.setattr(logs, "set_up", lambda: None)  # it would keep the stream of this test for good
    for name, content in FILES.items():
        (tmp_path / name).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / name).write_bytes(content if isinstance(content, bytes) else content.encode())
    with socket.socket() as unheard, another_program() as odd:
        unheard.bind(("127.0.0.1", 0))
        closed = f"127.0.0.1:{unheard.getsockname()[1]}"
        for words, status, said in BAD:
            words = [word.format(tmp_path, closed=closed, odd=odd) for word in words]
            done = CliRunner().invoke(cli.app, words)
            assert isinstance(done.exception, SystemExit), (words, done.exception)
            lines = done.stderr.splitlines()
            assert (done.exit_code, len(lines)) == (status, 1), (words, done.stderr)
            assert said.format(closed=closed) in lines[0] and lines[0].endswith("."), (words, lines)
