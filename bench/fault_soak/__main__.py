"""Runs the fault soak: python -m bench.fault_soak --seeds 1-20 [--root TREE] [--only clock,stop]."""

import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile
from pathlib import Path

from bench.fault_soak.control import build_shim
from bench.fault_soak.deployment import Deployment
from bench.fault_soak.fault_schedule import ScheduledFault
from bench.fault_soak.faults import FAULTS
from bench.fault_soak.gateway_process import Layout
from bench.fault_soak.run import Plan, Result, request_timeline, run

MAX_PRINTED_VIOLATIONS = 12
MAX_PRINTED_TIMELINES = 4  # violations for which the timelines of their requests are printed
CLIENT_REQUEST_ID_LENGTH = 16
SIGNAL_EXIT_BASE = 128  # shells report 128 plus the signal's number as the exit status


def _parse_seeds(text: str) -> list[int]:
    first_seed, _, last_seed = text.partition("-")
    return list(range(int(first_seed), int(last_seed or first_seed) + 1))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="fault_soak", description=__doc__)
    parser.add_argument("--seeds", type=_parse_seeds, default=[1], help="one seed or a range: 3 or 1-20")
    parser.add_argument("--root", type=Path, default=Path.cwd(), help="the tree whose built program is run")
    parser.add_argument("--seconds", type=float, default=14.0, help="seconds of load in each run")
    parser.add_argument("--faults", type=int, default=10, help="number of faults in each run")
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--only", default="", help=f"draw faults only from this list: {','.join(FAULTS)}")
    parser.add_argument(
        "--layouts", default="plain,plain,flight,processes", help="the layout of each gateway"
    )
    parser.add_argument(
        "--keep",
        type=Path,
        help="folder that keeps all logs and events; without it, only those of broken runs are kept",
    )
    return parser.parse_args()


def _describe(fault: ScheduledFault) -> str:
    return f"{fault.name}@{fault.start_delay_s:.1f}+{fault.duration_s:.1f}"


def _print_result(result: Result, folder: Path) -> None:
    print(result.summary(), flush=True)
    if not result.violations:
        return
    print(f"  logs {folder}")
    print("  faults " + " ".join(map(_describe, result.schedule)))
    for path_fault in result.observations.path_faults:
        print(f"  path {path_fault}")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {violation.promise}: {violation.detail}")
    for violation in result.violations[:MAX_PRINTED_TIMELINES]:
        for word in violation.detail.replace(",", " ").split():
            if len(word) == CLIENT_REQUEST_ID_LENGTH and word.isalnum():
                print("    " + "\n    ".join(request_timeline(result, folder, word)))
    sys.stdout.flush()


def _exit_on_sigterm(deployment: Deployment) -> None:
    """Make SIGTERM end this process and all processes of the deployment."""

    def end() -> None:
        """Kill everything and exit; as a callback of the event loop, it interrupts no start of a process."""
        deployment.close()
        sys.stdout.flush()
        os._exit(SIGNAL_EXIT_BASE + signal.SIGTERM)

    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)


def main() -> int:
    """Run the seeds one after the other; return 1 if any run has violated a promise, else 0."""
    arguments = _parse_arguments()
    base_folder = arguments.keep or Path(tempfile.mkdtemp(prefix="fault-soak-"))
    base_folder.mkdir(parents=True, exist_ok=True)
    library = build_shim(base_folder)
    layouts = tuple(Layout(name) for name in arguments.layouts.split(","))
    only = tuple(name for name in arguments.only.split(",") if name)
    broken = 0
    for seed in arguments.seeds:
        folder = base_folder / f"seed-{seed}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        plan = Plan(
            seed, arguments.seconds, layouts, client_count=arguments.clients,
            fault_count=arguments.faults, only=only,
        )  # fmt: skip
        result = asyncio.run(run(plan, arguments.root.resolve(), folder, library, _exit_on_sigterm))
        _print_result(result, folder)
        broken += bool(result.violations)
        if not result.violations and not arguments.keep:
            shutil.rmtree(folder)
    print(f"{len(arguments.seeds) - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
