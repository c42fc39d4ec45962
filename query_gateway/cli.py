"""The command line: `query-gateway run`, `check` and `statements classify`.

`python -m query_gateway` alone is `run`.
"""

import json
import os
import sys
from collections.abc import Iterator
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

import click

from query_gateway.configuration.platform import (
    ConfigurationError,
    config_of,
    faults_of_operator,
    raw_of,
    raw_of_operator,
)

if TYPE_CHECKING:
    from query_gateway.parsing.service import Classification, StatementService

PATIENCE = 30.0  # seconds that one statement may wait for a parser process


def _version() -> str:
    try:
        return version("mothknot")
    except PackageNotFoundError:  # started from its folder
        return "0.2.0"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="query-gateway")
def main() -> None:
    """A gateway for query engines."""


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="In place of ROUTER_CONFIG.")
@click.option("--operator", type=click.Path(dir_okay=False), help="In place of MOTHKNOT_OPERATOR.")
def run(config: str | None, operator: str | None) -> None:
    """Start a gateway."""
    from query_gateway.__main__ import serve

    if config:
        os.environ["ROUTER_CONFIG"] = config
    if operator:
        os.environ["MOTHKNOT_OPERATOR"] = operator
    serve()


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--operator", type=click.Path(dir_okay=False), help="An operator's file to check beside it.")
def check(files: tuple[str, ...], operator: str | None) -> None:
    """Check FILES: the configuration (.json) and operators' files (.toml), each fault with its place.

    Exit code 2 if there is a fault. Where both are given, also whether they go together.
    """
    toml = [file for file in files if file.endswith(".toml")] + ([operator] if operator else [])
    config, faults = None, []
    for file in (file for file in files if not file.endswith(".toml")):
        config, told = _check_config(file)
        faults += [f"{file}: {fault}" for fault in told]
    for file in toml:
        try:
            faults += [f"{file}: {fault}" for fault in faults_of_operator(raw_of_operator(file), config)]
        except ConfigurationError as bad:
            faults.append(str(bad))
    for fault in faults:
        click.echo(fault, err=True)
    if faults:
        sys.exit(2)
    click.echo("no faults")


def _check_config(file: str) -> tuple[Any, list[str]]:
    from query_gateway.configuration.schema import faults_of_configuration

    try:
        raw = raw_of(file)
        faults = faults_of_configuration(raw)
        if faults:
            return None, faults
        return config_of(raw, {}), []
    except ConfigurationError as bad:
        return None, [str(bad).removeprefix(f"{file}: ")]


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
    from query_gateway.configuration.platform import reading_of
    from query_gateway.net.loop import Loop
    from query_gateway.parsing.service import StatementService

    try:
        raw = raw_of_operator(rules)
        faults = faults_of_operator(raw, None)
        if faults:
            raise ConfigurationError(f"{rules}: {faults[0]}")
        reading = reading_of(raw)
        if reading is None:
            raise ConfigurationError(f"{rules}: has no table [statements]")
    except ConfigurationError as bad:
        click.echo(f"query-gateway: configuration: {bad}", err=True)
        sys.exit(2)
    safe = (reading.rules.lookup, reading.rules.report)
    service = StatementService(Loop(), reading.rules, safe, reading.parser_count, reading.max_shapes)
    if reading.snapshot_path and Path(reading.snapshot_path).exists():
        service.restore(reading.snapshot_path)
        service.snapshot_store = None  # read, never written from here
    try:
        for line in file:
            if line.strip():
                click.echo(json.dumps(_classified(service, line)))
    finally:
        service.stop()


def _classified(service: "StatementService", line: str) -> dict[str, Any]:
    from query_gateway.statements.classifier import classification_line, rejected_decision
    from query_gateway.statements.lexer import UnsupportedStatementError

    classifier = service.classifier
    try:
        raw = json.loads(line)
        sql, named, key, params = (raw.get(name) for name in ("sql", "class", "key", "params"))
        plain = isinstance(sql, str) and all(told is None or isinstance(told, str) for told in (named, key))
        if not plain or not isinstance(params or [], list):
            raise ValueError
    except (ValueError, AttributeError, RecursionError):
        bad = rejected_decision(UnsupportedStatementError('not a line {"sql": "..."}'))
        return classification_line(bad, None, None, classifier.costs, False)
    try:
        shape = classifier.normalize(sql)
    except UnsupportedStatementError as why:
        return classification_line(rejected_decision(why), None, None, classifier.costs, False)
    hit = classifier.shapes.peek(shape.fingerprint) is not None
    judged = next(one for one in _asked(service, sql, named, key, params or ()) if one.decision is not None)
    known = classifier.shapes.peek(shape.fingerprint)
    assert judged.decision
    return classification_line(judged.decision, shape, known, classifier.costs, hit)


def _asked(
    service: "StatementService", sql: str, named: str | None, key: str | None, params: Any
) -> Iterator["Classification"]:
    """Answers until one is no `come back`."""
    loop = service.loop
    until = loop.now() + PATIENCE
    while loop.now() < until:
        told: list[Classification] = []
        service.classify(sql, named, key, told.append, params)
        while not told:
            loop.turn()
        yield told[0]
    click.echo("query-gateway: no parser process answers", err=True)
    sys.exit(1)
