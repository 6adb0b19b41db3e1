"""Commands on configuration files: check, diff, show and schema."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

from cleo.helpers import argument, option
from fuchsiaspread_configuration import (
    base_schema,
    overlay_schema,
    parse_endpoint_text,
    settings_schema,
)
from fuchsiaspread_core.parts import Fault

from ..decide.changes import Comparison, FileWarning, compare_sites
from ..decide.checking import (
    CheckedFiles,
    SiteValues,
    base_part,
    check_files,
    merged_values,
    overlay_part,
    site_values,
)
from ..decide.publication import SiteConfigurations, compile_published, first_failure
from ..exit_codes import ExitCode
from ..gather.file_checks import find_check
from ..gather.files import read_file, read_fleet
from ..gather.platform import read_keys
from ..inputs import BASE_KEY, SITES_KEY, FleetFiles, PublishedValue
from ..outcomes import InvalidInput, PlatformUnreachable, UsageProblem
from ..printing.data import to_json
from ..printing.reports import comparison_text, values_text, warning_lines
from ..printing.text import fault_lines, sections
from .base import (
    FORMAT_OPTION,
    PLATFORM_OPTION,
    SITE_OPTION,
    TIMEOUT_OPTION,
    ReportCommand,
    help_text,
)

FILES_ARGUMENT = argument(
    "files",
    "Directory with base.yaml and sites/, or a base file and its overlays.",
    multiple=True,
)
SCHEMAS = {"base": base_schema, "overlay": overlay_schema, "settings": settings_schema}


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Result of a check; `comparison` is None unless `--against` or `--platform` was given."""

    sites: tuple[str, ...]
    faults: tuple[Fault, ...]
    warnings: tuple[FileWarning, ...]
    comparison: Comparison | None


class CheckCommand(ReportCommand):
    """Check files, and show what they would change."""

    name = "check"
    description = "Check files, and show what they would change."
    arguments = [FILES_ARGUMENT]
    options = [
        option("against", None, "Directory with the files in force.", flag=False),
        PLATFORM_OPTION,
        SITE_OPTION,
        TIMEOUT_OPTION,
        option("strict", None, "Exit with code 1 if there are warnings."),
        option("kind", None, "Check files of this other, installed kind instead.", flag=False),
        FORMAT_OPTION,
    ]
    help = help_text(
        "Checks base file, overlays, members list and entry VM settings. With --against or\n"
        "--platform it also shows the differences from the files in force, and warns about\n"
        "changes that are valid but may cause harm. Run it before publishing.",
        "check examples/empresa",
        "check new/ --against old/",
        "check new/ --platform 127.1.0.11:8500",
        "check base.yaml sites/occidente.yaml",
        "check --kind platform-settings settings.yaml",
    )

    def run_command(self) -> ExitCode:
        """Check the files, and compare them if an option asks for it."""
        if self.option("kind") is not None:
            return self._check_kind(self.option("kind"))
        files = read_fleet(tuple(self.argument("files")))
        if isinstance(files, InvalidInput):
            return self.fail(files)
        checked = check_files(files, self.option("site"))
        if isinstance(checked, UsageProblem):
            return self.fail(checked)
        comparison = None
        if self.option("against") is not None or self.option("platform") is not None:
            in_force = self._in_force(tuple(checked.configurations))
            if not isinstance(in_force, SiteConfigurations):
                return self.fail(in_force)
            comparison = self._compared(in_force, checked)
        report = CheckReport(
            tuple(checked.configurations), checked.faults, checked.warnings, comparison
        )
        self.emit(report, check_text)
        has_warnings = bool(checked.warnings or (comparison and comparison.warnings))
        is_bad = bool(checked.faults) or (self.option("strict") and has_warnings)
        return ExitCode.FINDINGS if is_bad else ExitCode.DONE

    def _check_kind(self, kind: str) -> ExitCode:
        check = find_check(kind)
        if isinstance(check, UsageProblem):
            return self.fail(check)
        faults: list[Fault] = []
        for name in self.argument("files"):
            content = read_file(Path(name))
            faults += (content,) if isinstance(content, Fault) else check(content.content, name)
        if faults:
            return self.fail(InvalidInput(tuple(faults)))
        self.emit({"faults": []}, lambda _: "No faults.")
        return ExitCode.DONE

    def _compared(self, in_force: SiteConfigurations, checked: CheckedFiles) -> Comparison:
        before, after = in_force.configurations, checked.configurations
        if checked.faults:
            # A site with faults has no new configuration; do not report it as removed.
            before = {site: value for site, value in before.items() if site in after}
        return compare_sites(before, after)

    def _in_force(
        self, sites: tuple[str, ...]
    ) -> SiteConfigurations | UsageProblem | InvalidInput | PlatformUnreachable:
        against, platform = self.option("against"), self.option("platform")
        if against is not None and platform is not None:
            return UsageProblem(
                "--against and --platform are mutually exclusive", "give one of them"
            )
        if against is not None:
            return configurations_of(against, self.option("site"))
        address, timeout_s = parse_endpoint_text(platform), self.timeout_s()
        if address is None:
            return UsageProblem(f"--platform {platform} is not a valid address", "write HOST:PORT")
        if isinstance(timeout_s, UsageProblem):
            return timeout_s
        keys = (BASE_KEY, *(SITES_KEY + site for site in sites))
        return compile_published(asyncio.run(read_keys(address, keys, timeout_s)))


class DiffCommand(ReportCommand):
    """Compare the configurations in two directories."""

    name = "diff"
    description = "Show the differences between two directories."
    arguments = [
        argument("old", "Directory with the old files."),
        argument("new", "Directory with the new files."),
    ]
    options = [SITE_OPTION, FORMAT_OPTION]
    help = help_text(
        "Compares the merged values of two directories, site by site, so that moving a value\n"
        "from an overlay to the base file is no difference. Exits with 1 if there is any.",
        "diff old/ new/ --site occidente",
    )

    def run_command(self) -> ExitCode:
        """Compare the two directories."""
        sides = [configurations_of(self.argument(s), self.option("site")) for s in ("old", "new")]
        for side in sides:
            if not isinstance(side, SiteConfigurations):
                return self.fail(side)
        before, after = (
            side.configurations for side in sides if isinstance(side, SiteConfigurations)
        )
        comparison = compare_sites(before, after)
        self.emit(comparison, comparison_text)
        return ExitCode.FINDINGS if comparison.changes else ExitCode.DONE


class ShowCommand(ReportCommand):
    """Show the merged values of a site."""

    name = "show"
    description = "Show the merged values of a site, and the origin of each."
    arguments = [argument("files", FILES_ARGUMENT.description, optional=True, multiple=True)]
    options = [SITE_OPTION, PLATFORM_OPTION, TIMEOUT_OPTION, FORMAT_OPTION]
    help = help_text(
        "Prints every value of a site with its origin: base, overlay or default. Reads files, or\n"
        "the published configuration if --platform and --site are given.",
        "show examples/empresa --site occidente",
        "show --platform 127.1.0.11:8500 --site occidente",
    )

    def run_command(self) -> ExitCode:
        """Merge the values and print them."""
        values = self._values()
        if not isinstance(values, SiteValues):
            return self.fail(values)
        self.emit(values, values_text)
        return ExitCode.DONE

    def _values(self) -> SiteValues | UsageProblem | InvalidInput | PlatformUnreachable:
        paths, platform = tuple(self.argument("files") or ()), self.option("platform")
        if bool(paths) == (platform is not None):
            return UsageProblem("give either files or --platform", "write show DIRECTORY")
        if platform is not None:
            return self._published_values(platform)
        files = read_fleet(paths)
        return files if isinstance(files, InvalidInput) else site_values(files, self.option("site"))

    def _published_values(
        self, platform: str
    ) -> SiteValues | UsageProblem | InvalidInput | PlatformUnreachable:
        site, address, timeout_s = (
            self.option("site"),
            parse_endpoint_text(platform),
            self.timeout_s(),
        )
        if address is None:
            return UsageProblem(f"--platform {platform} is not a valid address", "write HOST:PORT")
        if not site:
            return UsageProblem("--platform needs a site", "add --site SITE")
        if isinstance(timeout_s, UsageProblem):
            return timeout_s
        read = asyncio.run(read_keys(address, (BASE_KEY, SITES_KEY + site), timeout_s))
        base, overlay = read
        if isinstance(base, PublishedValue) and isinstance(overlay, PublishedValue):
            parts = base_part(base.content, base.index), overlay_part(
                overlay.content, overlay.index
            )
            return merged_values(*parts).with_file_names(base.key, overlay.key, site)
        return first_failure(read)


class SchemaCommand(ReportCommand):
    """Print the JSON Schema for a kind of file."""

    name = "schema"
    description = "Print the JSON Schema for base files, overlays or settings."
    arguments = [argument("kind", "base, overlay or settings")]
    options = [FORMAT_OPTION]
    help = help_text("Prints a JSON Schema, with which editors validate files.", "schema overlay")

    def run_command(self) -> ExitCode:
        """Print the schema."""
        schema = SCHEMAS.get(self.argument("kind"))
        if schema is None:
            problem = f"there is no schema for {self.argument('kind')}"
            return self.fail(UsageProblem(problem, f"write one of {', '.join(SCHEMAS)}"))
        self.emit_schema(schema())
        return ExitCode.DONE

    def emit_schema(self, schema: dict[str, object]) -> None:
        """Print a schema as JSON, whatever the output format."""
        self.emit(schema, to_json)


def check_text(report: CheckReport) -> str:
    """Format the result of a check."""
    if report.faults:
        summary = f"{len(report.faults)} faults; do not publish these files"
    else:
        summary = f"no fault; sites: {', '.join(report.sites)}"
        if report.comparison is not None:
            summary += f"; {_verdict(report)}"
    compared = comparison_text(report.comparison) if report.comparison is not None else ""
    return sections(
        ("Faults", fault_lines(report.faults)),
        ("Warnings about the files", warning_lines(report.warnings)),
        ("", compared),
        ("", summary),
    )


def _verdict(report: CheckReport) -> str:
    comparison = report.comparison
    if comparison is None or not comparison.changes:
        return "nothing to publish"
    if report.warnings or comparison.warnings:
        return "may be published if you accept each warning"
    return "may be published"


def configurations_of(
    directory: str, site: str | None
) -> SiteConfigurations | UsageProblem | InvalidInput:
    """Compile the configurations in a directory; any fault is an error."""
    files = read_fleet((directory,))
    if isinstance(files, InvalidInput):
        return files
    checked = check_files(FleetFiles(files.base, files.overlays), site)
    if isinstance(checked, UsageProblem):
        return checked
    if checked.faults:
        return InvalidInput(checked.faults)
    return SiteConfigurations(checked.configurations)
