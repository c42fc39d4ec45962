"""The command line: `query-gateway run`, `check` and `statements classify`.

`python -m query_gateway` alone is `run`.
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
    find_operator_faults,
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
DEVELOPMENT_VERSION = "0.3.0"  # of a program that is started from its folder, not installed
EXIT_FAULT = 2
EXIT_NO_PARSER = 1
PARSER_TIMEOUT = 30.0  # seconds that one statement may wait for a parser process


class StatementLineError(Exception):
    """A line of the input to `classify` that holds no statement."""

    def __init__(self) -> None:
        """The message is what `classify` prints as the reason."""
        super().__init__('not a line {"sql": "..."}')


@dataclass(slots=True, frozen=True)
class StatementLine:
    """One line of the input to `classify`: a statement, and what a client may send with it."""

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
@click.option("--config", type=click.Path(dir_okay=False), help=f"In place of {CONFIGURATION_VARIABLE}.")
@click.option("--operator", type=click.Path(dir_okay=False), help=f"In place of {OPERATOR_FILE_VARIABLE}.")
def run(config: str | None, operator: str | None) -> None:
    """Start a gateway."""
    from query_gateway.lifecycle.process import serve

    # In the environment, not in an argument: a reload reads it again, and worker processes inherit it
    if config:
        os.environ[CONFIGURATION_VARIABLE] = config
    if operator:
        os.environ[OPERATOR_FILE_VARIABLE] = operator
    serve()


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--operator", type=click.Path(dir_okay=False), help="An operator's file to check beside it.")
def check(files: tuple[str, ...], operator: str | None) -> None:
    """Check FILES: the configuration (.json) and operators' files (.toml), each fault with its place.

    Exit code 2 if there is a fault. Where both are given, also whether they go together.
    """
    operator_files = [file for file in files if file.endswith(".toml")] + ([operator] if operator else [])
    config: Configuration | None = None
    faults: list[str] = []
    for file in (file for file in files if not file.endswith(".toml")):
        config, found = _check_configuration(file)
        faults += [f"{file}: {fault}" for fault in found]
    for file in operator_files:
        faults += _check_operator_file(file, config)
    for fault in faults:
        click.echo(fault, err=True)
    if faults:
        sys.exit(EXIT_FAULT)
    click.echo("no faults")


def _check_configuration(file: str) -> tuple[Configuration | None, list[str]]:
    """The configuration that the file holds, if it has no fault, and its faults."""
    from query_gateway.configuration.schema import find_configuration_faults

    try:
        raw = load_configuration_file(file)
        faults = find_configuration_faults(raw)
        return (None, faults) if faults else (parse_configuration(raw, {}), [])
    except ConfigurationError as error:
        return None, [str(error).removeprefix(f"{file}: ")]


def _check_operator_file(file: str, config: Configuration | None) -> list[str]:
    """The faults of an operator's file, and its contradictions with the configuration."""
    try:
        return [f"{file}: {fault}" for fault in find_operator_faults(load_operator_file(file), config)]
    except ConfigurationError as error:
        return [str(error)]


@main.group()
def statements() -> None:
    """What the gateway makes of bare SQL."""


@statements.command()
@click.option("--rules", required=True, type=click.Path(dir_okay=False), help="An operator's file.")
@click.argument("file", default="-", type=click.File("r", encoding="utf-8", errors="replace"))
def classify(rules: str, file: TextIO) -> None:
    """Read lines {"sql": "..."} from FILE or standard input and print what becomes of each.

    A line may also hold "class" and "key" as a client names them, and "params" with the values bound.
    """
    try:
        settings = _read_statement_settings(rules)
    except ConfigurationError as error:
        click.echo(f"query-gateway: configuration: {error}", err=True)
        sys.exit(EXIT_FAULT)
    service = _start_statements(settings)
    try:
        for line in file:
            if line.strip():
                click.echo(json.dumps(_classify_line(service, line)))
    finally:
        service.stop()


def _read_statement_settings(file: str) -> StatementSettings:
    """The table [statements] of an operator's file. Raises ConfigurationError."""
    raw = load_operator_file(file)
    faults = find_operator_faults(raw, None)
    if faults:
        raise ConfigurationError(f"{file}: {faults[0]}")
    settings = parse_statement_settings(raw)
    if settings is None:
        raise ConfigurationError(f"{file}: has no table [statements]")
    return settings


def _start_statements(settings: StatementSettings) -> "StatementService":
    """A statement service on a loop of its own, with the costs that a gateway has learned."""
    from query_gateway.net.loop import Loop
    from query_gateway.parsing.service import StatementService

    rules = settings.rules
    idempotent = (rules.lookup, rules.report)
    service = StatementService(Loop(), rules, idempotent, settings.parser_count, settings.max_shapes)
    if settings.snapshot_path and Path(settings.snapshot_path).exists():
        service.restore(settings.snapshot_path)
        service.snapshot_store = None  # the snapshot belongs to the gateway: it is read here, never written
    return service


def _parse_line(text: str) -> StatementLine:
    """Raises StatementLineError."""
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
    """The classification of one line of input, as it is printed."""
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
    """Classify until there is a decision: none comes while a parser process that died is replaced."""
    from query_gateway.parsing.service import ClassificationRequest

    loop = service.loop
    request = ClassificationRequest(line.sql, line.class_name, line.key, line.parameters)
    deadline = loop.now() + PARSER_TIMEOUT
    while loop.now() < deadline:
        answers: list[Classification] = []
        service.classify(request, answers.append)
        while not answers:
            loop.turn()
        yield answers[0]
    click.echo("query-gateway: no parser process answers", err=True)
    sys.exit(EXIT_NO_PARSER)
