"""Tests of operators' commands as real processes, with three real hosts."""

import json
import subprocess
import sys
import unittest

import yaml

from test import _common
from test import _fleet
from test import test_commands

REGIONS = {"centro": ("a", "b"), "norte": ("a", "b"), "golfo": ("a", "b")}
KEYS_PATH = "/-/objects/steeringobjects/keys.valle"
START_TIMEOUT_SECONDS = 30.0


class OperatorsTest(unittest.TestCase):
    """Concurrent `apply` commands and a key withdrawn in a platform outage."""

    def setUp(self):
        self.document = json.loads(json.dumps(test_commands.DOCUMENT))
        self.document["regions"] = {
            name: {"zones": list(zones)} for name, zones in REGIONS.items()
        }
        self.deployment = _common.Deployment(
            REGIONS,
            self.document,
            _fleet.place_upstreams(REGIONS, "maps", 3),
            hosts=3,
        )
        self.deployment.__enter__()
        self.addCleanup(self.deployment.__exit__)
        _common.wait_until(
            lambda: self.run_command("status").count("fresh=True") == 3,
            START_TIMEOUT_SECONDS,
        )

    def start(self, *arguments):
        deployment = self.deployment
        options = [
            *("--platform", deployment.platform_url),
            *("--token", deployment.operator_token),
            *("--operator", deployment.addresses["operator:norte-1"]),
        ]
        return subprocess.Popen(
            [sys.executable, "-m", "gooseberryweir", *arguments, *options],
            cwd=_common.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def run_command(self, *arguments, exit_code=0):
        process = self.start(*arguments)
        output, errors = process.communicate(timeout=60)
        self.assertEqual(process.returncode, exit_code, errors)
        return output

    def test_one_of_two_concurrent_applies_takes_effect_on_all_hosts(self):
        files = []
        for rate in (20, 30):
            self.document["accounts"]["valle"]["rate"] = rate
            file = self.deployment.directory / f"rate-{rate}.yaml"
            file.write_text(yaml.safe_dump(self.document))
            files.append(str(file))
        version = self.deployment.control()["version"]
        self.run_command(
            "apply", files[0], "--expect-version", "999", exit_code=3
        )
        processes = [
            self.start("apply", file, "--expect-version", "1") for file in files
        ]
        results = [process.communicate(timeout=60) for process in processes]
        exit_codes = [process.returncode for process in processes]
        self.assertEqual(sorted(exit_codes), [0, 3], results)
        self.assertEqual(self.deployment.control()["version"], version + 1)
        self.assertIn("on 3 hosts", results[exit_codes.index(0)][0])
        self.assertIn(f"version {version + 1}", results[exit_codes.index(3)][1])

    def test_a_key_withdrawn_in_an_outage_stays_withdrawn(self):
        deployment = self.deployment
        key = self.run_command("key", "issue", "valle").split()[1]

        def statuses():
            return [
                _common.request(
                    "GET",
                    f"http://{deployment.addresses[f'caller:{name}']}/maps",
                    key=key,
                ).status
                for name in deployment.hosts
            ]

        # Hosts that have just started grant no tokens for some seconds.
        _common.wait_until(lambda: statuses() == [200] * 3)
        deployment.control(outage="refuse")
        output = self.run_command("key", "withdraw", key)
        self.assertEqual(output.count("confirmed, the key is refused"), 3)
        self.assertIn("platform: not written", output)
        self.assertEqual(statuses(), [401] * 3)
        deployment.control(outage="")

        def key_withdrawal_written():
            answer = _common.fetch_json(deployment.platform.url(KEYS_PATH))
            return "withdrawn" in answer["spec"]["digests"].values()

        _common.wait_until(key_withdrawal_written)
        self.assertEqual(statuses(), [401] * 3)
        host_logs = "".join(host.output() for host in deployment.hosts.values())
        self.assertNotIn(key, host_logs)
