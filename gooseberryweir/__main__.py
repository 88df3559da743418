"""The entry point of the one program.

Eventlet has to patch the standard library before anything else is imported,
so this module imports the rest only afterwards.
"""

import os
import sys
import warnings

# Eventlet announces its own retirement on import; see docs/design/libraries.md.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
# All addresses are IP numbers; eventlet's resolver would take 13 MB.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet

eventlet.monkey_patch()


def main() -> None:
    """Runs a host on the platform, or the command line."""
    if sys.argv[1:] == ["front"]:
        # The libraries of the command line would take memory on each host.
        from gooseberryweir import front

        front.main()
        return
    from gooseberryweir import cli

    cli.main()


if __name__ == "__main__":
    main()
