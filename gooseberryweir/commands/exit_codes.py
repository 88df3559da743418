"""Exit codes of the commands; see docs/reference/commands.md."""

from gooseberryweir import codes

OK = 0
FAILED = 1
BAD_INPUT = 2
CONFLICT = 3
NOT_IN_FORCE = 4
UNREACHABLE = 5
FORBIDDEN = 6
_EXIT_CODES = {
    codes.Code.CONFLICT: CONFLICT,
    codes.Code.NOT_IN_FORCE: NOT_IN_FORCE,
    codes.Code.PLATFORM_UNREACHABLE: UNREACHABLE,
    codes.Code.HOST_UNREACHABLE: UNREACHABLE,
    codes.Code.FORBIDDEN: FORBIDDEN,
    codes.Code.INVALID_DECLARATION: BAD_INPUT,
    codes.Code.BAD_SETTINGS: BAD_INPUT,
}


def exit_code(code: codes.Code) -> int:
    """Returns the exit code of a command that failed with a result code.

    The codes from 200 to 299 report a fault in the input.
    """
    if code in _EXIT_CODES:
        return _EXIT_CODES[code]
    return BAD_INPUT if code // 100 == 2 else FAILED
