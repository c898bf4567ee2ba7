"""Checks of service files: types, the rules on single files, and consistency between files."""

from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from minttide.config.cross_rules import check_consistency
from minttide.config.decoding import decode_json
from minttide.config.rules import Location
from minttide.config.service import ModelService, PlainService, ServiceFile, Site
from minttide.config.service_rules import check_model_service, check_plain_service
from minttide.config.site_rules import check_site
from minttide.findings import Findings
from minttide.ids import ServiceName

MAX_FILE_BYTES = 1024 * 1024
"""Largest service file; its publish must fit into one record of the platform log."""

Files = dict[str, ServiceFile]
"""Service files by file name."""


def check_service_files(
    texts: Iterable[tuple[str, bytes]],
    in_force: Mapping[ServiceName, ServiceFile] | None = None,
) -> Result[Files, Findings]:
    """Check files given as pairs of file name and text, together with the services in force.

    Returns the decoded files by file name, or all findings. A file replaces the file of the same
    service in `in_force`; references to the other services in force are valid.
    """
    findings = Findings()
    decoded = {name: decode_service_file(name, text, findings) for name, text in texts}
    files = {name: file for name, file in decoded.items() if file is not None}
    services = {file.service for file in files.values()}
    kept = {f"(in force) {n}": f for n, f in (in_force or {}).items() if n not in services}
    combined = {**files, **kept}
    if len(files) == len(decoded) or _has_site(combined):
        check_consistency(combined, findings)
    return Error(findings) if findings else Ok(files)


def _has_site(files: Mapping[str, ServiceFile]) -> bool:
    return any(isinstance(file, Site) for file in files.values())


def decode_service_file(name: str, text: bytes, findings: Findings) -> ServiceFile | None:
    """Decode one file and check it by itself; return None if it can't be decoded."""
    if len(text) > MAX_FILE_BYTES:
        findings.add(name, "$", f"larger than {MAX_FILE_BYTES} bytes")
        return None
    file: ServiceFile | None = decode_json(name, text, ServiceFile, findings)
    location = Location(findings, name)
    match file:
        case Site():
            check_site(location, file)
        case ModelService():
            check_model_service(location, file)
        case PlainService():
            check_plain_service(location, file)
    return file
