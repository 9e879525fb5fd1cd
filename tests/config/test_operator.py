"""The operator's file, structured logs, the status command, and what ``serve`` must not import."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from lugtally import balancing
from lugtally.config import operator
from lugtally.daemon.overload_protection import overload_limits
from lugtally.overload.admission import OverloadLimits
from tests.integration.player import ROOT, Player

NOT_IMPORTED_BY_SERVE = (
    "numpy",
    "rich",
    "matplotlib",
    "jinja2",
    "httptools",
    "uvloop",
    "hdrh",
    "psutil",
    "xxhash",
    "lugtally.testbed",
    "lugtally.cli.root",
    "lugtally.cli.rehearse",
    "msgspec",
    "argparse",
)


@pytest.mark.parametrize(
    ("text", "complaint"),
    [
        ("[log", "no TOML"),
        ("[log]\nformat = 'xml'", "log.format: Invalid enum value 'xml'"),
        ("[logs]\n", "Object contains unknown field `logs`"),
        ("[log]\nlevel = 3", "log.level: Expected `str`, got `int`"),
    ],
)
def test_a_bad_file_is_one_line_with_its_field_and_status_2(tmp_path: Path, text: str, complaint: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(operator.OperatorFileError) as caught:
        operator.load(str(path))
    assert complaint in str(caught.value)
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    done = subprocess.run(
        [sys.executable, "-m", "lugtally", "check-config", "--operator", str(path)],
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=environment,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert complaint in done.stderr


def test_the_annotated_example_is_all_defaults() -> None:
    assert operator.load(str(ROOT / "deploy" / "operator.example.toml")) == operator.Operator()


def test_the_files_defaults_are_those_of_the_admission_controller() -> None:
    assert overload_limits(operator.Overload(), balancing.Settings()) is None
    assert overload_limits(operator.Overload(enabled=True), balancing.Settings()) == OverloadLimits()


def test_json_lines_have_the_documented_events(tmp_path: Path) -> None:
    player = Player(tmp_path)
    config, operator_file = tmp_path / "config.json", tmp_path / "operator.toml"
    config.write_text(json.dumps(player.config()))
    operator_file.write_text("[log]\nformat = 'json'\nlevel = 'DEBUG'\n")
    child = subprocess.Popen(
        [sys.executable, "-B", "-m", "lugtally", "serve", "--operator", str(operator_file)],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "PROXY_CONFIG": str(config)},
    )
    try:
        assert child.stderr is not None
        first = child.stderr.readline()
        config.write_text("{")
        child.send_signal(signal.SIGHUP)
        second = child.stderr.readline()
        child.send_signal(signal.SIGTERM)
        rest = child.stderr.read()
        assert child.wait(10) == 0
    finally:
        child.kill()
        player.end()
    lines = [json.loads(line) for line in [first, second, *rest.splitlines()]]
    events = [line["event"] for line in lines]
    assert events[0] == "sidecar.serving"
    assert lines[0]["sidecar"] == "n1"
    assert isinstance(lines[0]["port"], int)
    assert {"config.rejected", "sidecar.draining", "sidecar.stopped"} <= set(events)
    assert all({"time", "level", "event", "text"} <= line.keys() for line in lines)
    page, _, _ = (ROOT / "docs" / "logging.md").read_text().partition("## Names before this release")
    documented = set(re.findall(r"^\| `([a-z._]+)`", page, re.M))
    source = "".join(path.read_text() for path in (ROOT / "lugtally").rglob("*.py"))
    assert documented == set(re.findall(r'event="([a-z._]+)"', source)), "docs/logging.md lists just what is logged"
    assert source.count("logger.info(") + source.count("logger.warning(") + source.count(
        "logger.error("
    ) + source.count("logger.exception(") + source.count("logger.debug(") == source.count('event="')


def test_serve_imports_nothing_of_the_testbed() -> None:
    code = (
        "import sys; from lugtally.__main__ import main; status = main(['serve']); "
        f"print(status, [name for name in {NOT_IMPORTED_BY_SERVE!r} if name in sys.modules])"
    )
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    done = subprocess.run(
        [sys.executable, "-c", code], check=False, cwd=ROOT, capture_output=True, text=True, env=environment
    )
    assert done.stdout.split(maxsplit=1) == ["2", "[]\n"], done.stdout
    assert done.stderr == "lugtally: PROXY_CONFIG: not set\n"


def run_status(path: Path, *options: str) -> subprocess.CompletedProcess[str]:
    """Run the status command on a sidecar's socket."""
    command = [sys.executable, "-m", "lugtally", "status", str(path), *options]
    return subprocess.run(command, check=False, cwd=ROOT, capture_output=True, text=True)


def leave_stale_socket(path: Path) -> None:
    """Leave a socket in the file system that nobody listens on, as a killed sidecar does."""
    stale = socket.socket(socket.AF_UNIX)
    stale.bind(str(path))
    stale.close()


def test_status_shows_the_state_of_a_sidecar_and_a_file_in_place_of_its_socket_is_not_touched(tmp_path: Path) -> None:
    player = Player(tmp_path)
    config, operator_file, path = tmp_path / "config.json", tmp_path / "operator.toml", tmp_path / "control"
    config.write_text(json.dumps(player.config()))
    operator_file.write_text(f"[control]\nsocket = '{path}'\n[overload]\nenabled = true\n[log]\nformat = 'json'\n")
    command = [sys.executable, "-B", "-m", "lugtally", "serve", "--operator", str(operator_file)]
    environment = {**os.environ, "PROXY_CONFIG": str(config)}
    path.write_text("somebody's")
    done = subprocess.run(command, check=False, cwd=ROOT, capture_output=True, text=True, env=environment)
    assert done.returncode == 2
    assert "operator file: control.socket: " in done.stderr
    assert path.read_text()
    path.unlink()
    leave_stale_socket(path)
    child = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True, env=environment)
    try:
        assert child.stderr is not None
        assert "sidecar.serving" in child.stderr.readline()
        assert path.stat().st_mode & 0o777 == 0o600
        silent = socket.socket(socket.AF_UNIX)  # a client that reads nothing must not delay others
        silent.connect(str(path))
        seen = json.loads(run_status(path, "--json").stdout)
        assert seen["sidecar"] == "n1"
        assert seen["requests"]["in_progress"] == 0
        assert seen["overload"]["refusing"] is False
        assert seen["draining"] is False
        child.send_signal(signal.SIGTERM)
        assert child.wait(10) == 0
        assert not path.exists()
        silent.close()
    finally:
        child.kill()
        player.end()
    after_stop = run_status(path)
    assert after_stop.returncode == 1
    assert after_stop.stderr.count("\n") == 1
