"""Runs operators' commands in tests and records their outcomes."""

import json
import os
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

from test import _common

COMMAND_TIMEOUT_SECONDS = 60.0
CONFIG_PATH = "/-/objects/steeringobjects/config"


class Outcome(NamedTuple):
    """Outcome of a command.

    Attributes:
        exit_code: Exit code of the command.
        lines: Monotonic time in seconds and text of each printed line.
    """

    exit_code: int
    lines: list[tuple[float, str]]

    def printed_at(self, text: str) -> float:
        """Returns when the first line with a text was printed, or 0 if none.

        The time is monotonic, in seconds.
        """
        return next((at for at, line in self.lines if text in line), 0.0)


class ApplyAttempt(NamedTuple):
    """An attempt of an operator to apply a declaration.

    Attributes:
        path: Path of a route that only this declaration and later ones have.
        accepted_at: Monotonic time of its acceptance in seconds, or 0 if it
            was refused.
    """

    path: str
    accepted_at: float


def start(
    deployment: _common.Deployment, *arguments: str
) -> "subprocess.Popen[str]":
    """Starts a command with the operator addresses of all hosts."""
    options = ["--platform", deployment.platform.url()]
    options += ["--token", deployment.operator_token]
    for name in deployment.host_specs:
        options += ["--operator", deployment.addresses[f"operator:{name}"]]
    return subprocess.Popen(
        [sys.executable, "-m", "gooseberryweir", *arguments, *options],
        cwd=_common.ROOT,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )


def wait_for_exit(process: "subprocess.Popen[str]") -> Outcome:
    """Records the time of each output line until the command exits."""
    lines = []
    assert process.stdout is not None
    for line in process.stdout:
        lines.append((time.monotonic(), line.rstrip()))
    return Outcome(process.wait(COMMAND_TIMEOUT_SECONDS), lines)


def run(deployment: _common.Deployment, *arguments: str) -> Outcome:
    """Runs a command and returns its outcome."""
    return wait_for_exit(start(deployment, *arguments))


def read_declarations(deployment: _common.Deployment) -> Any:
    """Returns the declarations and their version once the platform answers."""

    def fetch() -> Any:
        try:
            return _common.fetch_json(deployment.platform.url(CONFIG_PATH))
        except Exception:
            return None

    stored = _common.wait_until(
        fetch, description="the platform answers an operator"
    )
    version = int(stored["metadata"]["revision"])
    return stored["spec"]["declarations"], version


def race_to_apply(
    deployment: _common.Deployment, number: int
) -> tuple[list[ApplyAttempt], list[Outcome]]:
    """Lets two operators replace the same declarations at the same time.

    At most one of the two declarations may be accepted.

    Args:
        deployment: The running deployment.
        number: Number of the race; makes its paths and files unique.

    Returns:
        The attempts and the outcomes of both commands.
    """
    document, version = read_declarations(deployment)
    processes, paths = [], []
    for name in ("a", "b"):
        path = f"/epoch{number}{name}"
        route = {**document["routes"][0], "path": path, "open": True}
        candidate = {**document, "routes": [*document["routes"], route]}
        file = deployment.directory / f"epoch-{number}-{name}.yaml"
        file.write_text(json.dumps(candidate), encoding="utf-8")
        paths.append(path)
        processes.append(
            start(
                deployment, "apply", str(file), "--expect-version", str(version)
            )
        )
    outcomes = [wait_for_exit(each) for each in processes]
    attempts = [
        ApplyAttempt(path, outcome.printed_at("accepted as version"))
        for path, outcome in zip(paths, outcomes, strict=True)
    ]
    return attempts, outcomes
