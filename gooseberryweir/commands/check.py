"""`check`: validates declaration files without applying them."""

from collections.abc import Iterable

from gooseberryweir import codes
from gooseberryweir.version import declarations as declaring


def check(paths: Iterable[str]) -> None:
    """Prints a line for each good file.

    Args:
        paths: Paths of declaration files.

    Raises:
        codes.UserError: `INVALID_DECLARATION`, with a line for each fault of
            each file.
    """
    faults = []
    for path in paths:
        try:
            declared = declaring.load_file(path)
        except codes.UserError as error:
            faults.append(error.message)
            continue
        print(_summary(path, declared))
    if faults:
        raise codes.UserError(codes.Code.INVALID_DECLARATION, "\n".join(faults))


def _summary(path: str, declared: declaring.Declarations) -> str:
    return (
        f"{path}: valid; regions={len(declared.regions)}"
        f" classes={len(declared.classes)} services={len(declared.services)}"
        f" routes={len(declared.routes)} accounts={len(declared.accounts)}"
    )
