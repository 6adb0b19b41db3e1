"""Merge and validate a base file and an overlay, and convert them to a configuration."""

from dataclasses import dataclass
from typing import assert_never

from fuchsiaspread_core.configuration import (
    AddressKind,
    Configuration,
    Objective,
    RequestKind,
    Revision,
    Service,
    ServiceAddress,
    StreamKind,
    Target,
    TargetState,
)
from fuchsiaspread_core.identifiers import ServiceName, TargetName, ZoneName
from fuchsiaspread_core.parts import Fault, InvalidConfiguration, Part
from pydantic import ValidationError

from .internal.consistency import inconsistencies
from .internal.error_conversion import convert_errors
from .internal.loading import Document, UnreadableDocument, limited, load_yaml
from .internal.merging import Merged, duplicate_names, merge
from .models import (
    ObjectiveModel,
    RequestAddressModel,
    ServiceModel,
    SiteModel,
    StreamAddressModel,
    TargetModel,
)

_SECONDS_PER_DAY = 86_400
_MODELS = (
    SiteModel,
    ServiceModel,
    ObjectiveModel,
    StreamAddressModel,
    RequestAddressModel,
    TargetModel,
)
KNOWN_KEYS = tuple(dict.fromkeys(key for model in _MODELS for key in model.model_fields))


@dataclass(frozen=True, slots=True)
class InvalidParts:
    """Report that a base file and an overlay could not be merged."""

    faults: tuple[Fault, ...]


def merge_parts(base: Part, overlay: Part) -> Merged | InvalidParts:
    """Load and merge a base file and an overlay; the values are not validated."""
    loaded = (load_yaml(base.content, "base"), load_yaml(overlay.content, "overlay"))
    match loaded:
        case Document() as base_document, Document() as overlay_document:
            faults = [*duplicate_names(base_document), *duplicate_names(overlay_document)]
            faults += _root_type_faults(base_document) + _root_type_faults(overlay_document)
            if faults:
                return InvalidParts(limited(faults))
            return merge(base_document, overlay_document)
        case _:
            unreadable = [item for item in loaded if isinstance(item, UnreadableDocument)]
            return InvalidParts(limited(fault for item in unreadable for fault in item.faults))


def validate(merged: Merged) -> SiteModel | InvalidParts:
    """Validate merged values; return the model, or all faults found."""
    model, faults = None, []
    try:
        model = SiteModel.model_validate(merged.tree)
    except ValidationError as error:
        faults = convert_errors(error, merged, KNOWN_KEYS)
    faults += inconsistencies(merged)
    if model is None or faults:
        return InvalidParts(limited(faults))
    return model


def compile_parts(base: Part, overlay: Part) -> Configuration | InvalidConfiguration:
    """Return the configuration that results from a base file and an overlay."""
    revision = Revision(base.index, overlay.index)
    merged = merge_parts(base, overlay)
    model = validate(merged) if isinstance(merged, Merged) else merged
    match model:
        case SiteModel():
            services = tuple(_service(service) for service in model.services)
            return Configuration(model.site or "", revision, services)
        case InvalidParts(faults=faults):
            return InvalidConfiguration(revision, faults)
        case _:
            assert_never(model)


def _root_type_faults(document: Document) -> list[Fault]:
    if isinstance(document.tree, dict):
        return []
    problem = "the file must be a mapping with the key services"
    return [Fault(document.file, "", problem, "start the file with the line services:")]


def _service(model: ServiceModel) -> Service:
    objective = model.objective
    return Service(
        name=ServiceName(model.name),
        addresses=tuple(ServiceAddress(a.address, _kind(a)) for a in model.addresses),
        targets=tuple(_target(target, model) for target in model.targets),
        objective=Objective(
            objective.unbroken_share,
            objective.in_time_share,
            objective.period_days * _SECONDS_PER_DAY,
        ),
    )


def _kind(model: StreamAddressModel | RequestAddressModel) -> AddressKind:
    match model:
        case StreamAddressModel():
            return StreamKind(model.open_deadline_ms)
        case RequestAddressModel():
            return RequestKind(model.deadline_ms, model.repeatable)
        case _:
            assert_never(model)


def _target(model: TargetModel, service: ServiceModel) -> Target:
    slots = model.slots or service.slots
    connections = model.connections or service.connections
    assert slots is not None and connections is not None, "the consistency checks ensure both"
    return Target(
        name=TargetName(model.name),
        tunnel=model.tunnel,
        zone=ZoneName(model.zone),
        weight=model.weight,
        state=TargetState(model.state),
        slots=slots,
        connections=connections,
        load_endpoint=model.load,
    )
