"""The environment variable for the operator's file and its deprecated name: one, both or neither is set."""

from pathlib import Path

import pytest

from query_gateway.configuration.operator_file import OperatorSettings, read_operator_settings
from query_gateway.net.log import log
from tests.stand_ins import config, log_text

NAME, DEPRECATED_NAME = "QUERY_GATEWAY_OPERATOR_FILE", "MOTHKNOT_OPERATOR"
DEPRECATION = f"configuration {DEPRECATED_NAME} is deprecated; use {NAME}\n"


@pytest.fixture(autouse=True)
def clear_log_rate_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log, "_buckets", {})


def operator_file(folder: Path, query_class: str) -> str:
    path = folder / f"{query_class}.toml"
    path.write_text(f'[flight]\nlisten = "127.0.0.1:0"\nquery_class = "{query_class}"\n')
    return str(path)


def test_the_variable_names_the_operator_file(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    settings = read_operator_settings({NAME: operator_file(tmp_path, "report")}, config([]))
    assert settings.query_class == "report" and settings.flight_address == ("127.0.0.1", 0)
    assert capfd.readouterr().err == ""


def test_the_deprecated_variable_is_read_with_one_log_line(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    settings = read_operator_settings({DEPRECATED_NAME: operator_file(tmp_path, "report")}, config([]))
    assert settings.query_class == "report" and settings.flight_address == ("127.0.0.1", 0)
    [line] = capfd.readouterr().err.splitlines(keepends=True)
    assert log_text(line) == DEPRECATION


def test_the_present_variable_counts_where_both_are_set(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    environ = {NAME: operator_file(tmp_path, "report"), DEPRECATED_NAME: str(tmp_path / "missing.toml")}
    assert read_operator_settings(environ, config([])).query_class == "report"
    assert capfd.readouterr().err == ""


def test_without_either_variable_nothing_is_on(capfd: pytest.CaptureFixture[str]) -> None:
    assert read_operator_settings({}, config([])) == OperatorSettings()
    assert read_operator_settings({NAME: "", DEPRECATED_NAME: ""}, config([])) == OperatorSettings()
    assert capfd.readouterr().err == ""
