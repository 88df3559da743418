"""Measures starts of the executable: packaging/measure.py FILE [STARTS].

Unpacks into a directory of its own. For each start it prints the seconds
until `serve` is ready, its memory, its processes, and whether it ever waited
for a child: the page faults of ended children, which /proc keeps over exec.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

STOP_SECONDS = 30
# Variable that names a memory file system to unpack into.
DIRECTORY_VARIABLE = "GOOSEBERRYWEIR_MEASURE_DIR"


def resident_mb(process: int) -> float:
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    status = pathlib.Path(f"/proc/{process}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise ValueError("no VmRSS")


def measure(file: str, directory: pathlib.Path) -> str:
    """Starts the executable once, ends it, and returns what was seen."""
    settings = directory / "host.yaml"
    settings.write_text(
        "{host: alone, region: north, zone: a, look_up_seconds: 0.1,"
        " platform: 'http://127.0.0.1:9'}"
    )
    began = time.monotonic()
    with subprocess.Popen(
        [file, "serve", "--settings", settings],
        env={**os.environ, "PEX_ROOT": str(directory / "unpacked")},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    ) as process:
        assert process.stdout
        process.stdout.readline()
        seconds = time.monotonic() - began
        kernel = pathlib.Path(f"/proc/{process.pid}")
        children = (kernel / f"task/{process.pid}/children").read_text()
        fields = (kernel / "stat").read_text().rpartition(")")[2].split()
        memory = resident_mb(process.pid)
        process.terminate()
        process.wait(STOP_SECONDS)
    return (
        f"seconds={seconds:.2f} resident_mb={memory:.1f}"
        f" processes={1 + len(children.split())}"
        f" faults_of_ended_children={fields[8]}"
    )


def main() -> None:
    """Measures some starts; the first one unpacks."""
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
