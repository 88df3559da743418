"""Measures how the executable starts.

Usage: packaging/measure.py FILE [STARTS]. The executable unpacks itself into a
temporary directory, on its first start only. Prints for each start the time
until `serve` is ready, its memory and its number of processes. It also prints
the minor page faults of child processes that have ended, which /proc keeps
across exec: a number above 0 shows that the start waited for a child process.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

STOP_TIMEOUT_SECONDS = 30
# Environment variable that names the parent of the temporary directory, for
# example one in memory.
DIRECTORY_VARIABLE = "GOOSEBERRYWEIR_MEASURE_DIR"


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError("no VmRSS")


def measure(file: str, directory: pathlib.Path) -> str:
    """Starts the executable once, stops it, and returns the row to print.

    Args:
        file: Path of the executable.
        directory: Directory for the settings and the unpacked files.
    """
    settings = directory / "host.yaml"
    settings.write_text(
        "{host: alone, region: north, zone: a, look_up_seconds: 0.1,"
        " platform: 'http://127.0.0.1:9'}"
    )
    started_at = time.monotonic()
    with subprocess.Popen(
        [file, "serve", "--settings", settings],
        env={**os.environ, "PEX_ROOT": str(directory / "unpacked")},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    ) as process:
        assert process.stdout
        process.stdout.readline()
        seconds = time.monotonic() - started_at
        proc = pathlib.Path(f"/proc/{process.pid}")
        children = (proc / f"task/{process.pid}/children").read_text()
        fields = (proc / "stat").read_text().rpartition(")")[2].split()
        memory_mb = resident_mb(process.pid)
        process.terminate()
        process.wait(STOP_TIMEOUT_SECONDS)
    return (
        f"seconds={seconds:.2f} resident_mb={memory_mb:.1f}"
        f" processes={1 + len(children.split())}"
        f" faults_of_ended_children={fields[8]}"
    )


def main() -> None:
    """Measures several starts; the first one unpacks the files."""
    file = os.path.abspath(sys.argv[1])
    starts = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    directory = pathlib.Path(
        tempfile.mkdtemp(dir=os.environ.get(DIRECTORY_VARIABLE))
    )
    try:
        print(f"file_mb={os.path.getsize(file) / 1e6:.1f}")
        for _ in range(starts):
            print(measure(file, directory))
        files = [path for path in directory.rglob("*") if not path.is_symlink()]
        unpacked = sum(path.stat().st_size for path in files if path.is_file())
        print(f"unpacked_mb={unpacked / 1e6:.1f}")
    finally:
        shutil.rmtree(directory)


if __name__ == "__main__":
    main()
