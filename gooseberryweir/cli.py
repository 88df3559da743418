"""Command-line interface: parses the arguments and runs one command.

`main` catches the `UserError` of any command and prints it as one line.
"""

import itertools
import os
import sys
from typing import Annotated

import typer

from gooseberryweir import clock as clocks
from gooseberryweir import codes
from gooseberryweir import front as front_module
from gooseberryweir.commands import apply as apply_command
from gooseberryweir.commands import check as check_command
from gooseberryweir.commands import drain as drain_command
from gooseberryweir.commands import exit_codes
from gooseberryweir.commands import explain as explain_command
from gooseberryweir.commands import key as key_command
from gooseberryweir.commands import losses as losses_command
from gooseberryweir.commands import operator_client
from gooseberryweir.commands import status as status_command
from gooseberryweir.platform import store as platform_store
from gooseberryweir.process import serve as serve_module
from gooseberryweir.process import settings as settings_module

APP = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Steers callers to upstreams by declared targets.",
)
KEY_APP = typer.Typer(no_args_is_help=True, help="Issues and withdraws keys.")
APP.add_typer(KEY_APP, name="key")

PlatformUrlOption = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="GOOSEBERRYWEIR_PLATFORM",
        help="URL of the platform's object API.",
    ),
]
OperatorAddressesOption = Annotated[
    list[str] | None,
    typer.Option(
        "--operator",
        help="Operator port of a host, IP:PORT; to find the hosts during a"
        " platform outage.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="GOOSEBERRYWEIR_OPERATOR_TOKEN",
        help="The operator token.",
    ),
]


def _command_context(
    platform_url: str, operator_addresses: list[str] | None, token: str
) -> operator_client.CommandContext:
    clock = clocks.system_clock()
    return operator_client.CommandContext(
        platform_store.Store(platform_url, clock, "operator"),
        tuple(operator_addresses or ()),
        token,
        typer.echo,
        clock,
    )


@APP.command()
def serve(
    settings: Annotated[
        str | None, typer.Option(help="Settings file in YAML.")
    ] = None,
    host: Annotated[str | None, typer.Option(help="Name of this host.")] = None,
    region: Annotated[
        str | None, typer.Option(help="Region of this host.")
    ] = None,
    zone: Annotated[str | None, typer.Option(help="Zone of this host.")] = None,
    log_level: Annotated[
        str | None, typer.Option(help="debug, info, warning or error.")
    ] = None,
) -> None:
    """Runs one host until it is asked to shut down."""
    flags = {
        "host": host,
        "region": region,
        "zone": zone,
        "log_level": log_level,
    }
    loaded = settings_module.load_settings(settings, os.environ, flags)
    serve_module.run(loaded)


@APP.command()
def front() -> None:
    """Runs one host with a settings file in the platform's format."""
    front_module.main()


@APP.command()
def check(files: list[str]) -> None:
    """Validates declaration files without applying them."""
    check_command.check(files)


@APP.command()
def apply(
    file: str,
    platform_url: PlatformUrlOption,
    token: TokenOption,
    operator: OperatorAddressesOption = None,
    expect_version: Annotated[
        int | None,
        typer.Option(
            help="Version that the stored declaration must have; 0 if none"
            " may be stored."
        ),
    ] = None,
) -> None:
    """Applies a declaration and waits until all hosts use it."""
    context = _command_context(platform_url, operator, token)
    apply_command.apply_file(context, file, expect_version)


@APP.command()
def status(
    platform_url: PlatformUrlOption,
    token: TokenOption,
    operator: OperatorAddressesOption = None,
) -> None:
    """Shows the state of each host."""
    status_command.show_status(_command_context(platform_url, operator, token))


@KEY_APP.command("issue")
def key_issue(
    account: str,
    platform_url: PlatformUrlOption,
    token: TokenOption,
    operator: OperatorAddressesOption = None,
) -> None:
    """Issues a key for a client account and prints it once."""
    key_command.issue(_command_context(platform_url, operator, token), account)


@KEY_APP.command("withdraw")
def key_withdraw(
    platform_url: PlatformUrlOption,
    token: TokenOption,
    key: Annotated[
        str, typer.Argument(help="Key or its digest; - reads standard input.")
    ] = "-",
    operator: OperatorAddressesOption = None,
) -> None:
    """Withdraws a key on all hosts, also during a platform outage."""
    text = sys.stdin.readline().strip() if key == "-" else key
    key_command.withdraw(_command_context(platform_url, operator, token), text)


@APP.command()
def drain(
    target: Annotated[str, typer.Argument(help="region/NAME or upstream/NAME")],
    platform_url: PlatformUrlOption,
    token: TokenOption,
    operator: OperatorAddressesOption = None,
    undo: Annotated[bool, typer.Option(help="End the drain.")] = False,
) -> None:
    """Stops new requests to a region or an upstream."""
    context = _command_context(platform_url, operator, token)
    if undo:
        drain_command.undrain(context, target)
    else:
        drain_command.drain(context, target)


@APP.command()
def explain(
    method: str,
    path: str,
    platform_url: PlatformUrlOption,
    token: TokenOption,
    account: str = "",
    operator: OperatorAddressesOption = None,
) -> None:
    """Explains how a request would be routed now."""
    context = _command_context(platform_url, operator, token)
    explain_command.explain(context, method, path, account)


@APP.command()
def losses(
    files: Annotated[
        list[typer.FileText], typer.Argument(help="Logs of hosts; - for stdin.")
    ],
    by: Annotated[
        list[str] | None,
        typer.Option(help="reason, route, zone or second; may be repeated."),
    ] = None,
    worth: Annotated[
        list[str] | None,
        typer.Option(help="ROUTE=NUMBER; may be repeated."),
    ] = None,
) -> None:
    """Says from the logs of hosts why requests lost their credit."""
    values = dict(losses_command.parse_worth(each) for each in worth or [])
    losses_command.show_losses(
        itertools.chain.from_iterable(files),
        by or ["reason"],
        values,
        typer.echo,
    )


def main() -> None:
    """Runs the command line and exits with the code of a `UserError`."""
    try:
        APP()
    except codes.UserError as error:
        message = " | ".join(error.message.splitlines())
        sys.stderr.write(f"gooseberryweir: {int(error.code)}: {message}\n")
        sys.exit(exit_codes.exit_code(error.code))
