"""The command line: `query-gateway run`, `check` and `statements classify`.

`python -m query_gateway` without arguments is equivalent to `run`.
"""

import json
import os
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

import click

from query_gateway.configuration.errors import ConfigurationError
from query_gateway.configuration.operator_file import (
    StatementSettings,
    find_operator_file_errors,
    load_operator_file,
    parse_statement_settings,
)
from query_gateway.configuration.platform import (
    Configuration,
    load_configuration_file,
    parse_configuration,
)

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification, StatementService

CONFIGURATION_VARIABLE = "ROUTER_CONFIG"
OPERATOR_FILE_VARIABLE = "QUERY_GATEWAY_OPERATOR_FILE"
DEVELOPMENT_VERSION = "0.3.0"  # reported if the package is run from a checkout, without being installed
EXIT_INVALID_CONFIGURATION = 2
EXIT_PARSER_UNAVAILABLE = 1
PARSER_TIMEOUT_SECONDS = 30.0  # how long a statement may wait for a parser process


class StatementLineError(Exception):
    """An input line of `classify` that does not contain a statement."""

    def __init__(self) -> None:
        """Set the message, which `classify` prints as the reason."""
        super().__init__('expected a JSON object with "sql" and optionally "class", "key" and "params"')


@dataclass(slots=True, frozen=True)
class StatementLine:
    """A parsed input line of `classify`: a statement, with the class, key and parameters of its client."""

    sql: str
    class_name: str | None
    key: str | None
    parameters: list[Any]


def _version() -> str:
    try:
        return version("mothknot")
    except PackageNotFoundError:
        return DEVELOPMENT_VERSION


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="query-gateway")
def main() -> None:
    """A gateway for query engines."""


@main.command()
@click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help=f"Configuration file; overrides {CONFIGURATION_VARIABLE}.",
)
@click.option(
    "--operator",
    type=click.Path(dir_okay=False),
    help=f"Operator's file; overrides {OPERATOR_FILE_VARIABLE}.",
)
def run(config: str | None, operator: str | None) -> None:
    """Start a gateway."""
    from query_gateway.lifecycle.process import serve

    # Set in the environment rather than passed as arguments: a reload reads the environment again, and worker
    # processes inherit it
    if config:
        os.environ[CONFIGURATION_VARIABLE] = config
    if operator:
        os.environ[OPERATOR_FILE_VARIABLE] = operator
    serve()


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--operator", type=click.Path(dir_okay=False), help="An operator's file to check as well.")
def check(files: tuple[str, ...], operator: str | None) -> None:
    """Validate FILES: the configuration (.json) and operators' files (.toml).

    Prints every error with its location and exits with code 2 if there is any. If files of both kinds are
    given, their consistency with each other is checked as well.
    """
    operator_files = [file for file in files if file.endswith(".toml")] + ([operator] if operator else [])
    config: Configuration | None = None
    errors: list[str] = []
    for file in (file for file in files if not file.endswith(".toml")):
        config, file_errors = _check_configuration(file)
        errors += [f"{file}: {error}" for error in file_errors]
    for file in operator_files:
        errors += _check_operator_file(file, config)
    for error in errors:
        click.echo(error, err=True)
    if errors:
        sys.exit(EXIT_INVALID_CONFIGURATION)
    click.echo("no faults")


def _check_configuration(file: str) -> tuple[Configuration | None, list[str]]:
    """Read and validate a configuration file; return it, or None if it is invalid, and its errors."""
    from query_gateway.configuration.schema import find_configuration_errors

    try:
        raw = load_configuration_file(file)
        errors = find_configuration_errors(raw)
        return (None, errors) if errors else (parse_configuration(raw, {}), [])
    except ConfigurationError as error:
        return None, [str(error).removeprefix(f"{file}: ")]


def _check_operator_file(file: str, config: Configuration | None) -> list[str]:
    """Return the errors of an operator's file.

    If it has none and `config` is given, return its inconsistencies with `config`.
    """
    try:
        return [f"{file}: {error}" for error in find_operator_file_errors(load_operator_file(file), config)]
    except ConfigurationError as error:
        return [str(error)]


@main.group()
def statements() -> None:
    """Inspect how the gateway handles SQL statements."""


@statements.command()
@click.option("--rules", required=True, type=click.Path(dir_okay=False), help="An operator's file.")
@click.argument("file", default="-", type=click.File("r", encoding="utf-8", errors="replace"))
def classify(rules: str, file: TextIO) -> None:
    """Read lines {"sql": "..."} from FILE or standard input and print the classification of each.

    A line may also contain "class" and "key", as sent by a client, and "params", the bound parameter values.
    """
    try:
        settings = _read_statement_settings(rules)
    except ConfigurationError as error:
        click.echo(f"query-gateway: configuration: {error}", err=True)
        sys.exit(EXIT_INVALID_CONFIGURATION)
    service = _start_statements(settings)
    try:
        for line in file:
            if line.strip():
                click.echo(json.dumps(_classify_line(service, line)))
    finally:
        service.stop()


def _read_statement_settings(file: str) -> StatementSettings:
    """Read the table [statements] of an operator's file. Raises ConfigurationError."""
    raw = load_operator_file(file)
    errors = find_operator_file_errors(raw, None)
    if errors:
        raise ConfigurationError(f"{file}: {errors[0]}")
    settings = parse_statement_settings(raw)
    if settings is None:
        raise ConfigurationError(f"{file}: there is no table [statements]")
    return settings


def _start_statements(settings: StatementSettings) -> "StatementService":
    """Create a statement service with its own loop, and with the learned costs if there is a snapshot."""
    from query_gateway.net.loop import Loop
    from query_gateway.parsing.service import StatementService

    rules = settings.rules
    idempotent = (rules.lookup, rules.report)
    service = StatementService(Loop(), rules, idempotent, settings.parser_count, settings.max_shapes)
    if settings.snapshot_path and Path(settings.snapshot_path).exists():
        service.restore(settings.snapshot_path)
        service.snapshot_store = None  # the gateway owns the snapshot; this process must not write it
    return service


def _parse_line(text: str) -> StatementLine:
    """Decode a JSON line with a statement.

    Raises StatementLineError if the line is not a JSON object or a field is missing or has the wrong type.
    """
    try:
        raw = json.loads(text)
        sql, class_name, key, parameters = (raw.get(name) for name in ("sql", "class", "key", "params"))
    except (ValueError, AttributeError, RecursionError):
        raise StatementLineError from None
    optional_text = all(value is None or isinstance(value, str) for value in (class_name, key))
    if not isinstance(sql, str) or not optional_text or not isinstance(parameters or [], list):
        raise StatementLineError
    return StatementLine(sql, class_name, key, parameters or [])


def _classify_line(service: "StatementService", text: str) -> dict[str, Any]:
    """Classify the statement of an input line; the result is printed as JSON."""
    from query_gateway.statements.classifier import classification_line, rejected_decision
    from query_gateway.statements.errors import UnsupportedStatementError

    classifier = service.classifier
    try:
        line = _parse_line(text)
        shape = classifier.normalize(line.sql)
    except StatementLineError as error:
        return classification_line(
            rejected_decision(UnsupportedStatementError(str(error))), None, None, classifier.costs, False
        )
    except UnsupportedStatementError as error:
        return classification_line(rejected_decision(error), None, None, classifier.costs, False)
    was_cached = classifier.shapes.peek(shape.fingerprint) is not None
    decision = next(
        classification.decision
        for classification in _classifications(service, line)
        if classification.decision is not None
    )
    cached_shape = classifier.shapes.peek(shape.fingerprint)
    return classification_line(decision, shape, cached_shape, classifier.costs, was_cached)


def _classifications(service: "StatementService", line: StatementLine) -> Iterator["Classification"]:
    """Classify repeatedly and yield each result; end the process after `PARSER_TIMEOUT_SECONDS`.

    A result has no decision while a crashed parser process is being replaced; the caller then tries again.
    """
    from query_gateway.parsing.service import ClassificationRequest

    loop = service.loop
    request = ClassificationRequest(line.sql, line.class_name, line.key, line.parameters)
    deadline = loop.now() + PARSER_TIMEOUT_SECONDS
    while loop.now() < deadline:
        results: list[Classification] = []
        service.classify(request, results.append)
        while not results:
            loop.turn()
        yield results[0]
    click.echo(f"query-gateway: no parser process answered within {PARSER_TIMEOUT_SECONDS:g} s", err=True)
    sys.exit(EXIT_PARSER_UNAVAILABLE)
