"""Errors that reach an operator: their class, and one line with what happened, why, and what to do."""

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
def test_defining_an_error_class_without_its_own_action_sentence_raises_type_error(action):
    with pytest.raises(TypeError, match="NoActionError"):
        type("NoActionError", (errors.RequestError,), {} if action is None else {"action": action})


def test_error_text_is_one_line_with_all_parts_and_pickling_keeps_every_field():
    unpickled = pickle.loads(
        pickle.dumps(errors.RateLimitError("10.0.0.1 was put\noff", "2,100 calls", retry_s=2.5))
    )
    assert str(unpickled) == f"10.0.0.1 was put off: 2,100 calls. {errors.RateLimitError.action}"
    assert unpickled.wire() == {"error": "too many calls", "reason": str(unpickled)}
    assert (unpickled.status, unpickled.retry_s, unpickled.summary) == (
        429,
        2.5,
        "10.0.0.1 was put off: 2,100 calls",
    )
    assert str(errors.UsageError("--at.", action="Name HOST:PORT.")) == "--at. Name HOST:PORT."


def test_every_error_class_has_an_action_and_operations_page_lists_exactly_these_classes():
    error_classes = error_page.error_types()
    assert len(error_classes) > 20
    for name, error_class in error_classes.items():
        assert getattr(error_class, "action", "").strip(), f"{name} has no `action`"
        # Errors of the sidecar and of the simulator's adapter are exempt: both run without the packages that
        # `brassfall.errors` needs.
        if not name.startswith(("brassfall.sidecar.", "brassfall.simulator.")):
            assert issubclass(error_class, errors.BrassfallError), name
    expected, listed = (
        {error_page.row(name, error_class) for name, error_class in error_classes.items()},
        error_page.listed_rows(),
    )
    assert (sorted(expected - listed), sorted(listed - expected)) == ([], [])  # Missing rows, stale rows


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
# Cases of bad input: arguments of the command, expected exit status, and a text that the error line contains.
# `{}` is a folder that contains FILES, `{closed}` an address on which nothing listens, and `{odd}` the
# address of an HTTP server that is not a list service.
BAD_INPUT_CASES = [
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
def run_unrelated_http_server():
    """Run an HTTP server that is not a list service; yield its address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            while True:
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                with connection:
                    connection.recv(65_536)
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n[]")

        threading.Thread(target=serve, daemon=True).start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        listener.shutdown(socket.SHUT_RDWR)


def test_bad_input_to_any_command_prints_one_error_line_and_exits_with_its_status(tmp_path, monkeypatch):
    monkeypatch.setattr(logs, "set_up", lambda: None)  # It would keep this stream after the test
    for name, content in FILES.items():
        (tmp_path / name).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / name).write_bytes(content if isinstance(content, bytes) else content.encode())
    with socket.socket() as unlistened, run_unrelated_http_server() as odd:
        unlistened.bind(("127.0.0.1", 0))
        closed = f"127.0.0.1:{unlistened.getsockname()[1]}"
        for arguments, status, expected_text in BAD_INPUT_CASES:
            arguments = [argument.format(tmp_path, closed=closed, odd=odd) for argument in arguments]
            result = CliRunner().invoke(cli.app, arguments)
            assert isinstance(result.exception, SystemExit), (arguments, result.exception)
            lines = result.stderr.splitlines()
            assert (result.exit_code, len(lines)) == (status, 1), (arguments, result.stderr)
            assert expected_text.format(closed=closed) in lines[0] and lines[0].endswith("."), (
                arguments,
                lines,
            )
