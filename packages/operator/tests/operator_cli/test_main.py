"""Tests of the entry point: error output without tracebacks, and exit codes."""

import contextlib
import io
import unittest
from unittest import mock

from fuchsiaspread_operator.internal.commands.file_commands import SchemaCommand
from fuchsiaspread_operator.main import run


class MainTest(unittest.TestCase):
    def run_main(self, *arguments: str) -> tuple[int, str]:
        """Run the command line as from a shell, and return its exit code and standard error."""
        errors = io.StringIO()
        with (
            mock.patch("sys.argv", ["fuchsiaspread", *arguments]),
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(errors),
        ):
            code = run()
        self.assertNotIn("Traceback", errors.getvalue())
        return code, errors.getvalue()

    def test_wrong_command_lines_end_with_a_next_step(self) -> None:
        """Guards against a traceback or a silent failure on a mistyped command line."""
        for arguments in (["chek"], ["check"], ["check", "--nope"], ["schema", "a", "b"]):
            code, error = self.run_main(*arguments)
            self.assertEqual((code, "list shows all commands" in error), (2, True), error)

    def test_fault_in_a_command_is_one_line(self) -> None:
        """Guards against a traceback if a command raises an unexpected exception."""
        with mock.patch.object(SchemaCommand, "run_command", side_effect=KeyError("x")):
            code, error = self.run_main("schema", "base")
        self.assertEqual((code, len(error.splitlines())), (70, 1))

    def test_interrupt_is_not_a_finding(self) -> None:
        """Guards against scripts that mistake an interrupted command for one with findings."""
        with mock.patch.object(SchemaCommand, "run_command", side_effect=KeyboardInterrupt):
            self.assertEqual(self.run_main("schema", "base")[0], 130)

    def test_help_names_examples_and_exit_codes(self) -> None:
        """Guards against help texts without examples or exit codes."""
        for command in ("check", "show", "diff", "status", "explain", "burn", "schema"):
            output = io.StringIO()
            with (
                mock.patch("sys.argv", ["fuchsiaspread", command, "--help"]),
                contextlib.redirect_stdout(output),
            ):
                self.assertEqual(run(), 0)
            self.assertIn(f"fuchsiaspread {command}", output.getvalue())
            self.assertIn("Exit codes:", output.getvalue())


if __name__ == "__main__":
    unittest.main()
