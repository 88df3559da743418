"""The entry point of the one program.

Eventlet has to patch the standard library before anything else is imported,
so this module imports the command line only afterwards.
"""

import warnings

# Eventlet announces its own retirement on import; see docs/design/libraries.md.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet

eventlet.monkey_patch()

from gooseberryweir import cli


def main() -> None:
    """Runs the command line."""
    cli.main()


if __name__ == "__main__":
    main()
