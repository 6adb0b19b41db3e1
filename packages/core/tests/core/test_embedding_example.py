"""Tests that the embedding example and its documentation page agree."""

import ast
import io
import runpy
import unittest
from contextlib import redirect_stdout
from pathlib import Path

import fuchsiaspread_core

ROOT = Path(__file__).resolve().parents[4]
EXAMPLE = ROOT / "examples" / "embedding" / "print_jobs.py"
PAGE = ROOT / "docs" / "embedding.md"


class EmbeddingExampleTest(unittest.TestCase):
    def test_example_prints_what_the_page_shows(self) -> None:
        """Guards against an example that fails or prints something else than the page shows."""
        printed = io.StringIO()
        with redirect_stdout(printed):
            runpy.run_path(str(EXAMPLE), run_name="__main__")
        shown = PAGE.read_text(encoding="utf-8").split("```\n")[1]
        self.assertEqual(printed.getvalue(), shown)

    def test_example_imports_the_core_alone(self) -> None:
        """Guards against an example that needs the daemon's packages."""
        tree = ast.parse(EXAMPLE.read_text(encoding="utf-8"))
        froms = [node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
        plain = [
            name for node in ast.walk(tree) if isinstance(node, ast.Import) for name in node.names
        ]
        self.assertEqual((froms, plain), (["fuchsiaspread_core"], []))

    def test_public_names_exist_and_are_named_on_the_page(self) -> None:
        """Guards against public names that a module no longer defines or the page does not list."""
        for name in fuchsiaspread_core.__all__:
            self.assertTrue(hasattr(fuchsiaspread_core, name), name)
        page = PAGE.read_text(encoding="utf-8")
        for name in ("EntryCore", "ShardAdmission", "Membership", "RevisionStore", "FlowTable"):
            self.assertIn(f"`{name}`", page)


if __name__ == "__main__":
    unittest.main()
