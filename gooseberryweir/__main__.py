"""Entry point of the gooseberryweir program.

Eventlet must patch the standard library before any other module is imported,
so this module imports the rest of the package only afterwards.
"""

import os
import signal
import sys
import warnings

if sys.argv[1:] == ["front"]:
    # The default action would end the process; `front.run` sets the handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Eventlet warns on import that it is deprecated; see docs/design/libraries.md.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
# All addresses are numeric, so eventlet's DNS resolver is not needed; it would
# use 13 MB.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet

eventlet.monkey_patch()


def main() -> None:
    """Runs a host directly for the argument `front`, else the command line."""
    if sys.argv[1:] == ["front"]:
        # A host run by `front` does not import the command line: its libraries
        # would use memory.
        from gooseberryweir import front

        front.main()
        return
    from gooseberryweir import cli

    cli.main()


if __name__ == "__main__":
    main()
