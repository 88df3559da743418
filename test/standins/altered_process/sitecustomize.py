"""Changes the addresses and the time of day of a Python process.

The directory belongs on PYTHONPATH of hosts that reach each other through a
proxy, since they announce the addresses that they were told. The variable
LISTENING_ADDRESSES has a JSON map of the `IP:PORT` told to that in its place.
CONNECTING_IP has the IP address of outgoing connections, by which the proxy
knows their source. With TIME_OF_DAY_SEED the time of day is wrong, by another
number of seconds in each period.
"""

import functools
import importlib.util
import json
import os
import random
import sys
import time

_MODULE = "eventlet.convenience"
# Greatest error of the time of day, and the period in which it is the same.
_MAX_SHIFT_SECONDS = 3.0
_SHIFT_PERIOD_SECONDS = 5.0
_ADDRESSES = json.loads(os.environ.get("LISTENING_ADDRESSES", "{}"))


class _Finder:
    """Finds the module with `listen` and `connect` and wraps both.

    It waits for the import, so that the process starts as without it.
    """

    def find_spec(self, name, path=None, target=None):
        """Returns the spec of the module if it is the one to change."""
        if name != _MODULE:
            return None
        sys.meta_path.remove(self)
        spec = importlib.util.find_spec(name)
        execute = spec.loader.exec_module

        def execute_and_wrap(module):
            execute(module)
            module.listen = _listening_elsewhere(module.listen)
            module.connect = functools.partial(
                module.connect, bind=(os.environ["CONNECTING_IP"], 0)
            )

        spec.loader.exec_module = execute_and_wrap
        return spec


def _listening_elsewhere(listen):
    def listen_elsewhere(address, *arguments, **options):
        told = "{}:{}".format(*address)
        ip, _, port = _ADDRESSES.get(told, told).rpartition(":")
        return listen((ip, int(port)), *arguments, **options)

    return listen_elsewhere


def _shift_time_of_day(seed):
    time_of_day = time.time

    def shifted():
        period = int(time.monotonic() / _SHIFT_PERIOD_SECONDS)
        rng = random.Random(f"{seed}-{period}")
        return time_of_day() + rng.uniform(
            -_MAX_SHIFT_SECONDS, _MAX_SHIFT_SECONDS
        )

    time.time = shifted


sys.meta_path.insert(0, _Finder())
if "TIME_OF_DAY_SEED" in os.environ:
    _shift_time_of_day(os.environ["TIME_OF_DAY_SEED"])
