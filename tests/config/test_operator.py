"""The operator's own file, structured logs, and what ``serve`` must not load."""

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
from lugtally.daemon.own_overload import overload_limits
from lugtally.overload.admission import OverloadLimits
from tests.integration.player import ROOT, Player

KIT = (
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
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=environment,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and complaint in done.stderr


def test_the_annotated_example_is_all_defaults() -> None:
    assert operator.load(str(ROOT / "deploy" / "operator.example.toml")) == operator.Operator()


def test_the_files_defaults_are_the_gates_own() -> None:
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
    assert events[0] == "sidecar.serving" and lines[0]["sidecar"] == "n1" and isinstance(lines[0]["port"], int)
    assert {"config.rejected", "sidecar.draining", "sidecar.stopped"} <= set(events)
    assert all({"time", "level", "event", "text"} <= line.keys() for line in lines)
    page, _, _ = (ROOT / "docs" / "logging.md").read_text().partition("## Names before this release")
    documented = set(re.findall(r"^\| `([a-z._]+)`", page, re.M))
    source = "".join(path.read_text() for path in (ROOT / "lugtally").rglob("*.py"))
    assert documented == set(re.findall(r'event="([a-z._]+)"', source)), "docs/logging.md lists just what is logged"
    assert source.count("logger.info(") + source.count("logger.warning(") + source.count(
        "logger.error("
    ) + source.count("logger.exception(") + source.count("logger.debug(") == source.count('event="')


def test_serve_loads_nothing_of_the_kit() -> None:
    code = (
        "import sys; from lugtally.__main__ import main; status = main(['serve']); "
        f"print(status, [m for m in {KIT!r} if m in sys.modules])"
    )
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, env=environment)
    assert done.stdout.split(maxsplit=1) == ["2", "[]\n"], done.stdout
    assert done.stderr == "lugtally: PROXY_CONFIG: not set\n"


def test_status_tells_how_a_sidecar_is_and_a_file_in_its_place_is_left_alone(tmp_path: Path) -> None:
    player = Player(tmp_path)
    config, operator_file, path = tmp_path / "config.json", tmp_path / "operator.toml", tmp_path / "control"
    config.write_text(json.dumps(player.config()))
    operator_file.write_text(f"[control]\nsocket = '{path}'\n[overload]\nenabled = true\n[log]\nformat = 'json'\n")
    command = [sys.executable, "-B", "-m", "lugtally", "serve", "--operator", str(operator_file)]
    environment = {**os.environ, "PROXY_CONFIG": str(config)}
    path.write_text("somebody's")
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, env=environment)
    assert done.returncode == 2 and "operator file: control.socket: " in done.stderr and path.read_text()
    path.unlink()
    stale = socket.socket(socket.AF_UNIX)
    stale.bind(str(path))
    stale.close()
    child = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True, env=environment)
    try:
        assert child.stderr is not None and "sidecar.serving" in child.stderr.readline()
        assert path.stat().st_mode & 0o777 == 0o600
        silent = socket.socket(socket.AF_UNIX)  # one that reads nothing must not keep others waiting
        silent.connect(str(path))
        shown = subprocess.run(
            [sys.executable, "-m", "lugtally", "status", str(path), "--json"], cwd=ROOT, capture_output=True, text=True
        )
        seen = json.loads(shown.stdout)
        assert seen["sidecar"] == "n1" and seen["requests"]["in_progress"] == 0
        assert seen["overload"]["refusing"] is False and seen["draining"] is False
        child.send_signal(signal.SIGTERM)
        assert child.wait(10) == 0 and not path.exists()
        silent.close()
    finally:
        child.kill()
        player.end()
    after_stop = subprocess.run(
        [sys.executable, "-m", "lugtally", "status", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    assert after_stop.returncode == 1 and after_stop.stderr.count("\n") == 1
