"""The `check` command: validates declaration files without applying them."""

from collections.abc import Iterable

from gooseberryweir import codes
from gooseberryweir.version import declarations


def check(paths: Iterable[str]) -> None:
    """Validates files and prints a summary line for each valid one.

    Args:
        paths: Paths of declaration files.

    Raises:
        codes.UserError: INVALID_DECLARATION if a file is invalid, with a
            line for each error in each file.
    """
    error_messages = []
    for path in paths:
        try:
            declared = declarations.load_file(path)
        except codes.UserError as error:
            error_messages.append(error.message)
            continue
        print(_summary(path, declared))
    if error_messages:
        raise codes.UserError(
            codes.Code.INVALID_DECLARATION, "\n".join(error_messages)
        )


def _summary(path: str, declared: declarations.Declarations) -> str:
    return (
        f"{path}: valid; regions={len(declared.regions)}"
        f" classes={len(declared.classes)} services={len(declared.services)}"
        f" routes={len(declared.routes)} accounts={len(declared.accounts)}"
    )
