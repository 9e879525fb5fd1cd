"""The operator's file, the JSON log, the status command, and the modules that ``serve`` must not import."""

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
from lugtally.config import operator_file
from lugtally.daemon.overload_protection import overload_limits
from lugtally.overload.admission import OverloadLimits
from tests.sidecar_program import ROOT

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
    "asyncio",
    "click",
    "hashlib",
    "ssl",
)


def serve_command(operator_path: Path) -> list[str]:
    return [sys.executable, "-B", "-m", "lugtally", "serve", "--operator", str(operator_path)]


def environment_without_config() -> dict[str, str]:
    return {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}


def environment_with_config(path: Path) -> dict[str, str]:
    return {**os.environ, "PROXY_CONFIG": str(path)}


@pytest.mark.parametrize(
    ("file_text", "error_text"),
    [
        ("[log", "invalid TOML"),
        ("[log]\nformat = 'xml'", "log.format: Invalid enum value 'xml'"),
        ("[logs]\n", "Object contains unknown field `logs`"),
        ("[log]\nlevel = 3", "log.level: Expected `str`, got `int`"),
    ],
)
def test_invalid_file_is_reported_on_one_line_with_status_2(tmp_path: Path, file_text: str, error_text: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(file_text)
    with pytest.raises(operator_file.OperatorFileError) as caught:
        operator_file.load(str(path))
    assert error_text in str(caught.value)
    completed = subprocess.run(
        [sys.executable, "-m", "lugtally", "check-config", "--operator", str(path)],
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=environment_without_config(),
    )
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1
    assert error_text in completed.stderr


def test_example_file_has_the_default_values() -> None:
    assert operator_file.load(str(ROOT / "deploy" / "operator.example.toml")) == operator_file.OperatorFile()


def test_default_overload_section_equals_default_limits() -> None:
    assert overload_limits(operator_file.OverloadSection(), balancing.Settings()) is None
    assert overload_limits(operator_file.OverloadSection(enabled=True), balancing.Settings()) == OverloadLimits()


def test_json_log_has_the_documented_events(tmp_path: Path, config_path: Path) -> None:
    operator_path = tmp_path / "operator.toml"
    operator_path.write_text("[log]\nformat = 'json'\nlevel = 'DEBUG'\n")
    process = subprocess.Popen(
        serve_command(operator_path),
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=environment_with_config(config_path),
    )
    try:
        assert process.stderr is not None
        first_line = process.stderr.readline()
        config_path.write_text("{")
        process.send_signal(signal.SIGHUP)
        second_line = process.stderr.readline()
        process.send_signal(signal.SIGTERM)
        remaining_text = process.stderr.read()
        assert process.wait(10) == 0
    finally:
        process.kill()
    lines = [json.loads(line) for line in [first_line, second_line, *remaining_text.splitlines()]]
    events = [line["event"] for line in lines]
    assert events[0] == "sidecar.serving"
    assert lines[0]["sidecar"] == "n1"
    assert isinstance(lines[0]["port"], int)
    assert {"config.rejected", "sidecar.draining", "sidecar.stopped"} <= set(events)
    assert all({"time", "level", "event", "text"} <= line.keys() for line in lines)
    current_names, _, _ = (ROOT / "docs" / "logging.md").read_text().partition("## Names before this release")
    documented_events = set(re.findall(r"^\| `([a-z._]+)`", current_names, re.M))
    source = "".join(path.read_text() for path in (ROOT / "lugtally").rglob("*.py"))
    assert documented_events == set(re.findall(r'event="([a-z._]+)"', source)), (
        "docs/logging.md lists exactly the events in the code"
    )
    assert source.count("logger.info(") + source.count("logger.warning(") + source.count(
        "logger.error("
    ) + source.count("logger.exception(") + source.count("logger.debug(") == source.count('event="')


def test_serve_imports_nothing_of_the_testbed() -> None:
    code = (
        "import sys; from lugtally.__main__ import main; status = main(['serve']); "
        f"print(status, [name for name in {NOT_IMPORTED_BY_SERVE!r} if name in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=environment_without_config(),
    )
    assert completed.stdout.split(maxsplit=1) == ["2", "[]\n"], completed.stdout
    assert completed.stderr == "lugtally: PROXY_CONFIG: not set\n"


def run_status(path: Path, *options: str) -> subprocess.CompletedProcess[str]:
    """Run the status command for the status socket at ``path``."""
    command = [sys.executable, "-m", "lugtally", "status", str(path), *options]
    return subprocess.run(command, check=False, cwd=ROOT, capture_output=True, text=True)


def create_stale_socket(path: Path) -> None:
    """Create a socket file without a listener, like that of a killed sidecar."""
    stale = socket.socket(socket.AF_UNIX)
    stale.bind(str(path))
    stale.close()


@pytest.fixture
def socket_path(tmp_path: Path) -> Path:
    return tmp_path / "control"


@pytest.fixture
def status_operator_path(tmp_path: Path, socket_path: Path) -> Path:
    """The path of an operator's file with the status socket, overload protection and JSON logs."""
    path = tmp_path / "operator.toml"
    path.write_text(f"[control]\nsocket = '{socket_path}'\n[overload]\nenabled = true\n[log]\nformat = 'json'\n")
    return path


def test_other_file_at_the_socket_path_is_an_error(
    socket_path: Path, status_operator_path: Path, config_path: Path
) -> None:
    socket_path.write_text("a file of another program")
    completed = subprocess.run(
        serve_command(status_operator_path),
        check=False,
        cwd=ROOT,
        capture_output=True,
        text=True,
        env=environment_with_config(config_path),
    )
    assert completed.returncode == 2
    assert "operator file: control.socket: " in completed.stderr
    assert socket_path.read_text()


def test_status_command_shows_a_running_sidecar(
    socket_path: Path, status_operator_path: Path, config_path: Path
) -> None:
    create_stale_socket(socket_path)
    process = subprocess.Popen(
        serve_command(status_operator_path),
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=environment_with_config(config_path),
    )
    try:
        assert process.stderr is not None
        assert "sidecar.serving" in process.stderr.readline()
        assert socket_path.stat().st_mode & 0o777 == 0o600
        idle_client = socket.socket(socket.AF_UNIX)  # a client that does not read must not block others
        idle_client.connect(str(socket_path))
        state = json.loads(run_status(socket_path, "--json").stdout)
        assert state["sidecar"] == "n1"
        assert state["requests"]["in_progress"] == 0
        assert state["overload"]["refusing"] is False
        assert state["draining"] is False
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
        assert not socket_path.exists()
        idle_client.close()
    finally:
        process.kill()
    after_stop = run_status(socket_path)
    assert after_stop.returncode == 1
    assert after_stop.stderr.count("\n") == 1
