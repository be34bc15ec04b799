"""Guards against printing an invalid document, and against errors that do not name the object."""

import io
import json
import os
import subprocess
import sys
import tempfile
import unittest

import tanagerladder as ladder

EXAMPLES = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "examples")


def example_document():
    document = ladder.new_document("test")
    ladder.add_team(document, "clinic", ladder.hash_token("secret"))
    ladder.add_pool(document, "intake", floor=1, owner="clinic")
    ladder.set_quota(document, "intake", "clinic", rate=10, burst=20)
    ladder.add_vm(document, "vm-1", "127.0.0.1:9001", "intake", "zone-a", "rack-1", 8)
    return document


def set_field(path, value):
    def apply(document):
        *parents, last = path
        for key in parents:
            document = document[key]
        document[last] = value

    return apply


POOL = ("pools", "intake")
VM = ("vms", "vm-1")
INVALID_FIELDS = [
    (("site",), "Test", "site 'Test'"),
    (("extra",), 1, "'extra' is not a known field"),
    (("pools",), [], "pools: an object"),
    ((*POOL, "floor"), True, "pool intake: floor"),
    ((*POOL, "owner"), [], "pool intake: owner []"),
    ((*POOL, "floor"), -1, "pool intake: floor: -1"),
    ((*POOL, "floor"), 2**32, "pool intake: floor"),
    ((*POOL, "owner"), "nobody", "pool intake: owner nobody"),
    ((*POOL, "probe_path"), "health", "pool intake: probe_path"),
    ((*POOL, "probe_path"), "/a b", "pool intake: probe_path"),
    ((*POOL, "require_key"), 1, "pool intake: require_key"),
    ((*POOL, "queue_limits", "urgent_ms"), 0, "pool intake: urgent_ms"),
    ((*POOL, "queue_limits", "urgent_ms"), 1.5, "pool intake: urgent_ms"),
    ((*POOL, "quotas", "other"), {}, "quota of team other"),
    ((*POOL, "quotas", "clinic", "weight"), 0, "pool intake: quota of team clinic: weight"),
    ((*VM, "slots"), 0, "vm vm-1: slots"),
    ((*VM, "slots"), 1025, "vm vm-1: slots"),
    ((*VM, "pool"), "files", "vm vm-1: pool files"),
    ((*VM, "pool"), {}, "vm vm-1: pool {}"),
    ((*VM, "zone"), "", "vm vm-1: zone"),
    ((*VM, "address"), "localhost:1", "vm vm-1: address"),
    ((*VM, "address"), "127.0.0.1", "vm vm-1: address"),
    ((*VM, "address"), "127.0.0.1:65536", "vm vm-1: address"),
    ((*VM, "address"), "::1:80", "vm vm-1: address"),
    ((*VM, "colour"), "red", "vm vm-1: 'colour'"),
    (("teams", "clinic", "token_sha256"), "A" * 64, "team clinic: token_sha256"),
    (("vms", "VM"), {}, "vm 'VM'"),
]


class DocumentTest(unittest.TestCase):
    def test_invalid_documents_are_not_printed(self):
        for path, value, message in INVALID_FIELDS:
            with self.subTest(path=path, value=value):
                document = example_document()
                set_field(path, value)(document)
                stream = io.StringIO()
                with self.assertRaises(ladder.DocumentError) as caught:
                    ladder.print_document(document, stream)
                self.assertIn(message, str(caught.exception))
                self.assertEqual(stream.getvalue(), "")

    def test_valid_document_is_printed(self):
        stream = io.StringIO()
        ladder.print_document(example_document(), stream)
        self.assertEqual(json.loads(stream.getvalue()), example_document())

    def test_duplicate_names_and_addresses_are_rejected(self):
        document = example_document()
        with self.assertRaisesRegex(ladder.DocumentError, "vm vm-1: is already"):
            ladder.add_vm(document, "vm-1", "127.0.0.1:9002", "intake", "z", "r", 8)
        ladder.add_vm(document, "vm-2", "127.0.0.1:9001", "intake", "z", "r", 8)
        with self.assertRaisesRegex(ladder.DocumentError, "vm vm-2: address .* vm vm-1"):
            ladder.check_document(document)


class ExampleTest(unittest.TestCase):
    def run_example(self, name, *arguments):
        command = [sys.executable, os.path.join(EXAMPLES, name), *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def test_examples_have_the_size_and_layout_of_the_sites(self):
        for name, zones in (("hallein.py", 3), ("nilebite.py", 4)):
            result = self.run_example(name)
            self.assertEqual(result.returncode, 0, result.stderr)
            document = json.loads(result.stdout)
            vms = document["vms"].values()
            self.assertEqual(len(vms), 50)
            self.assertEqual({vm["slots"] for vm in vms}, {8})
            self.assertEqual(len({vm["zone"] for vm in vms}), zones)
            for pool, config in document["pools"].items():
                members = [vm for vm in vms if vm["pool"] == pool]
                self.assertIn(len(members), range(8, 13))
                self.assertEqual(len({vm["zone"] for vm in members}), zones)
                # The floor must leave VMs for planned work.
                self.assertLess(config["floor"], len(members))
                racks = [vm["rack"] for vm in members]
                self.assertLessEqual(max(map(racks.count, racks)), 2)
            racks = [vm["rack"] for vm in vms]
            self.assertEqual(max(map(racks.count, racks)), 4)

    def test_endpoints_of_a_file_are_used(self):
        with tempfile.NamedTemporaryFile("w", suffix=".txt") as file:
            file.write("ready\n")
            for index in range(50):
                file.write(f"endpoint worker-{index} 10.0.0.{index + 1}:8080\n")
            file.flush()
            document = json.loads(self.run_example("hallein.py", "--endpoints", file.name).stdout)
            self.assertEqual(document["vms"]["worker-49"]["address"], "10.0.0.50:8080")
            file.write("endpoint worker-50 nowhere\n")
            file.flush()
            result = self.run_example("hallein.py", "--endpoints", file.name)
            self.assertEqual((result.returncode, result.stdout), (2, ""))
            self.assertIn(":52: endpoint worker-50: address 'nowhere'", result.stderr)


if __name__ == "__main__":
    unittest.main()
