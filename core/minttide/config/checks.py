"""The whole check of service files: shape, single files, and all files together."""

from collections.abc import Iterable, Mapping

from expression import Error, Ok, Result

from minttide.config.cross_rules import check_together
from minttide.config.rules import Place
from minttide.config.service import ModelService, PlainService, ServiceFile, Site
from minttide.config.service_rules import check_model_service, check_plain_service
from minttide.config.shape import decode_checked
from minttide.config.site_rules import check_site
from minttide.findings import Findings
from minttide.ids import ServiceName

MAX_FILE_BYTES = 1024 * 1024
"""Largest service file; the record that publishes it must fit into the platform log."""

Files = dict[str, ServiceFile]


def check_service_files(
    texts: Iterable[tuple[str, bytes]],
    in_force: Mapping[ServiceName, ServiceFile] | None = None,
) -> Result[Files, Findings]:
    """Check files given as (file name, text), together with services that stay in force.

    Returns the decoded files by file name, or every finding. A file of a service takes the place of
    what `in_force` has under its name; references may lead to the others.
    """
    findings = Findings()
    decoded = {name: decode_service_file(name, text, findings) for name, text in texts}
    files = {name: file for name, file in decoded.items() if file is not None}
    names = {file.service for file in files.values()}
    kept = {f"(in force) {n}": f for n, f in (in_force or {}).items() if n not in names}
    together = {**files, **kept}
    if len(files) == len(decoded) or _has_site(together):
        check_together(together, findings)
    return Error(findings) if findings else Ok(files)


def _has_site(files: Mapping[str, ServiceFile]) -> bool:
    return any(isinstance(file, Site) for file in files.values())


def decode_service_file(name: str, text: bytes, findings: Findings) -> ServiceFile | None:
    """Decode one file and check it by itself; return None when its shape is wrong."""
    if len(text) > MAX_FILE_BYTES:
        findings.add(name, "$", f"larger than {MAX_FILE_BYTES} bytes")
        return None
    file: ServiceFile | None = decode_checked(name, text, ServiceFile, findings)
    place = Place(findings, name)
    match file:
        case Site():
            check_site(place, file)
        case ModelService():
            check_model_service(place, file)
        case PlainService():
            check_plain_service(place, file)
    return file
