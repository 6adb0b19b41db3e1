"""Tests of the commands on configuration files."""

import json
import shutil
import tempfile
import unittest
from pathlib import Path

from .fixtures import EXAMPLES, run


class FileCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.new = Path(temporary.name) / "new"
        self.old = EXAMPLES / "empresa"
        shutil.copytree(self.old, self.new)

    def replace(self, file: str, old: str, new: str) -> None:
        """Replace text in a copied file; fail if the text is missing."""
        path = self.new / file
        text = path.read_text()
        self.assertIn(old, text)
        path.write_text(text.replace(old, new))

    def faults(self) -> str:
        """Run a check that must find faults, and return its output."""
        code, output, error = run("check", str(self.new))
        self.assertEqual(code, 1, output + error)
        self.assertNotIn("Traceback", output + error)
        return output + error

    def warnings(self) -> str:
        """Run a check against the unchanged files that must find warnings; return its output."""
        code, output, _ = run("check", f"{self.new} --against {self.old}")
        self.assertEqual(code, 0, output)
        strict_code, _, _ = run("check", f"{self.new} --against {self.old} --strict")
        self.assertEqual(strict_code, 1)
        return output

    def test_examples_are_free_of_faults(self) -> None:
        """Guards against example files that no longer pass the check."""
        for user in ("empresa", "glenfixer"):
            self.assertEqual(run("check", str(EXAMPLES / user))[0], 0)
        files = f"{self.old}/base.yaml {self.old}/sites/occidente.yaml"
        self.assertEqual(run("check", files)[1], "no fault; sites: occidente\n")

    def test_faults_name_the_file_the_key_and_the_next_step(self) -> None:
        """Guards against fault messages without file, key or remedy."""
        self.replace("sites/occidente.yaml", "slots: 2", "slots: 0")
        output = self.faults()
        where = f"{self.new}/sites/occidente.yaml: services.inspection.targets.scan-host-3.slots"
        self.assertIn(f"{where}: 0 is out of range; write a value of at least 1", output)

    def test_site_without_overlay_is_a_fault(self) -> None:
        """Guards against a site that gets no configuration because its overlay is missing."""
        self.replace("base.yaml", "sites: [occidente]", "sites: [occidente, oriente]")
        self.assertIn("the site oriente has no overlay", self.faults())
        shutil.rmtree(self.new / "sites")
        self.assertIn("the site occidente has no overlay", self.faults())

    def test_settings_must_agree_with_members(self) -> None:
        """Guards against an entry VM whose settings differ from its entry in the members list."""
        self.replace("entries/entry-1.yaml", "127.1.1.1:6083", "127.1.1.1:6099")
        self.replace("entries/entry-2.yaml", "site: occidente", "site: other")
        self.replace("entries/entry-3.yaml", "name: entry-3\nsite", "name: entry-9\nsite")
        output = self.faults()
        self.assertIn("admin differs from the list of members", output)
        self.assertIn("the site other has no overlay", output)
        self.assertIn("entry-9 is not in the list of members", output)

    def test_broken_files_are_reported_without_a_traceback(self) -> None:
        """Guards against a crash of the check on empty, binary, oversized or malformed files."""
        for content in (b"", b"\xff", b"a: [", b"- 1", b"x" * 1_000_001, b"a: &a [*a]"):
            for file in ("base.yaml", "sites/occidente.yaml", "entries/entry-1.yaml"):
                if (content, file) == (b"", "sites/occidente.yaml"):
                    continue
                with self.subTest(content=content[:10], file=file):
                    kept = (self.new / file).read_bytes()
                    (self.new / file).write_bytes(content)
                    self.faults()
                    (self.new / file).write_bytes(kept)

    def test_draining_the_last_target_of_a_zone_is_a_warning(self) -> None:
        """Guards against a drain that leaves a zone without targets during a partition."""
        self.replace("sites/occidente.yaml", "slots: 2", "state: draining")
        self.assertIn("this drains the last target of the zone occidente-c", self.warnings())
        self.replace("base.yaml", "scan-host-1,", "scan-host-1, state: draining,")
        self.replace("base.yaml", "scan-host-2,", "scan-host-2, state: draining,")
        self.assertIn("this drains the last target of the service", self.warnings())

    def test_address_that_changes_its_service_is_a_warning(self) -> None:
        """Guards against moving an address between services, which misroutes open flows."""
        self.replace("base.yaml", "10.20.0.2:7003", "10.20.0.9:7003")
        self.replace("base.yaml", "10.20.0.1:7002", "10.20.0.2:7003")
        output = self.warnings()
        self.assertIn("this address served another service until now: inspection", output)
        self.assertIn("10.20.0.1:7002: the address is removed from order-desk", output)

    def test_other_harmful_changes_are_warnings(self) -> None:
        """Guards against no warning for removed or moved targets, less capacity, or repeats."""
        self.replace("base.yaml", "repeatable: false", "repeatable: true")
        self.replace("base.yaml", "127.1.2.1:6080", "127.1.2.77:6080")
        self.replace("base.yaml", "name: desk-2, ", "name: desk-9, ")
        self.replace("base.yaml", "slots: 3", "slots: 1")
        output = self.warnings()
        for words in (
            "a request may run more than once",
            "desk-1.tunnel: the tunnel address changes",
            "desk-2: the target is removed while it is active",
            "slots of the active targets fall from 21 to 7",
        ):
            self.assertIn(words, output)

    def test_zone_without_entry_vm_is_a_warning(self) -> None:
        """Guards against a misspelled zone, whose targets would be managed from another zone."""
        self.replace(
            "base.yaml", 'zone: occidente-c, load: "127.1.2.10', 'zone: c, load: "127.1.2.10'
        )
        self.assertIn("the zone c has targets but no entry VM", self.warnings())

    def test_diff_compares_merged_values(self) -> None:
        """Guards against a difference for a value that only moved between base and overlay."""
        self.assertEqual(run("diff", f"{self.old} {self.new}")[:2], (0, "no change\n"))
        self.replace("base.yaml", 'zone: occidente-c, load: "127.1.2.10:8080"', "zone: occidente-c")
        code, output, _ = run("diff", f"{self.old} {self.new} --format json")
        self.assertEqual(code, 1)
        (change,) = json.loads(output)["changes"]
        key = "services.inspection.targets.scan-host-3.load_endpoint"
        self.assertEqual((change["key"], change["after"]), (key, "none"))

    def test_show_names_the_origin(self) -> None:
        """Guards against wrong origins, which would make an operator edit the wrong file."""
        code, output, _ = run("show", f"{self.old} --format json")
        self.assertEqual(code, 0)
        values = {item["key"]: item for item in json.loads(output)["values"]}
        host = "services.inspection.targets.scan-host-3"
        self.assertEqual(
            values[f"{host}.slots"], {"key": f"{host}.slots", "value": 2, "origin": "overlay"}
        )
        self.assertEqual(values[f"{host}.tunnel"]["origin"], "base")
        self.assertEqual(values[f"{host}.weight"]["origin"], "default")
        first = values["services.inspection.targets.scan-host-1.slots"]
        self.assertEqual((first["value"], first["origin"]), (3, "base"))

    def test_wrong_use_says_what_to_write(self) -> None:
        """Guards against usage errors that do not say what to write instead."""
        old = str(self.old)
        cases = [
            ("check", f"{old} --site nowhere", "known sites: occidente"),
            ("check", f"{old} --format xml", "write --format table or json"),
            ("check", f"{old} --against {old} --platform 1.2.3.4:5", "give one of them"),
            ("check", f"{old} --platform nowhere", "write HOST:PORT"),
            ("check", f"{old} --platform 127.0.0.1:1 --timeout x", "number of seconds"),
            ("show", "", "write show DIRECTORY"),
            ("show", "--platform 127.0.0.1:1", "add --site SITE"),
            ("schema", "members", "write one of base, overlay, settings"),
            ("status", "", "give --members FILE"),
            ("status", "--entries a:1", "write HOST:PORT,HOST:PORT"),
            ("status", "--entries ,", "names no entry VM"),
            ("status", "--platform 127.0.0.1:1", "add --site SITE"),
            ("explain", "a_b --entries 127.0.0.1:1", "CALLER:PORT-SERVICE:PORT"),
            ("explain", "1.2.3.4:0-1.2.3.4:5 --entries 127.0.0.1:1", "CALLER:PORT"),
        ]
        for command, arguments, words in cases:
            with self.subTest(command=command, arguments=arguments):
                code, _, error = run(command, arguments)
                self.assertEqual(code, 2, error)
                self.assertIn(words, error)
        for arguments in ("/nowhere/x", str(EXAMPLES)):
            code, _, error = run("check", arguments)
            self.assertEqual((code, "no such file" in error), (1, True))

    def test_schemas_cover_the_files(self) -> None:
        """Guards against a schema that rejects valid overlays or accepts unknown keys."""
        schemas = {
            kind: json.loads(run("schema", kind)[1]) for kind in ("base", "overlay", "settings")
        }
        self.assertEqual(schemas["base"]["required"], ["services"])
        self.assertEqual(schemas["overlay"]["required"], [])
        target = schemas["overlay"]["$defs"]["TargetModel"]
        self.assertEqual(target["required"], ["name"])
        self.assertIn({"type": "null"}, target["properties"]["weight"]["anyOf"])
        for schema in schemas.values():
            self.assertFalse(schema["additionalProperties"])


if __name__ == "__main__":
    unittest.main()
