"""What a configuration that was read again changes in a running sidecar."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from itertools import count

from brassfall.balancer.settings import Profile
from brassfall.sidecar.config import KEYED_CLASS_KEYS, Config, ConfigError
from brassfall.sidecar.config_values import RequestClass, WireNames

OPTIONAL_KEYS = frozenset(("AimStretch", "PassesDeadline", "WarmKeys"))  # a reload may add or remove them
# What a running process can't change, since it is tied to sockets, to known servers or to its place.
FIXED = ("name", "listen", "operator", "limits", "peer_listen", "peers", "peers_all")
FIXED_SETTINGS = (
    "me",
    "balancers",
    "locality",
    "zones",
    "kinds",
    "discovery",
    "allowances",
    "peer_messages",
    "report_how",
    "report_fields",
)
FIXED_NAMES = ("tenants", "zones", "kinds")


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """A configuration that replaces the running one."""

    config: Config
    same_classes: frozenset[int]  # the slots of classes that are the same as before
    pending_restart: tuple[str, ...]  # what differs in the file and needs a restart


@dataclass(frozen=True, slots=True)
class _Slots:
    """The slot of each class."""

    classes: Mapping[str, RequestClass]
    unchanged: frozenset[int]  # the slots of classes that are the same as before


def plan_reload(running: Config, found: Config, busy: Collection[int]) -> ReloadPlan:
    """Return the running configuration with all that may change taken from `found`, the file's.

    Requests or clients still name the slots in `busy`. Raise `ConfigError` if the file lacks a key that the
    running configuration has.
    """
    _check_keys(running, found)
    slots = _assign_slots(running, found, busy)
    names = replace(running.names, classes=slots.classes)
    differences = _fixed_differences(running, found, names)
    if _fleet_membership(found) != _fleet_membership(running):
        found = replace(found, registry=running.registry, discovery=running.discovery)
    fixed = {name: getattr(running.settings, name) for name in FIXED_SETTINGS}
    config = replace(
        running,
        discovery=found.discovery,
        registry=found.registry,
        settings=replace(found.settings, profiles=_profiles(running, found, slots.classes), **fixed),
        names=names,
        max_open_requests=found.max_open_requests,
        drain_grace=found.drain_grace,
        present_keys=found.present_keys,
        agreement=found.agreement if running.agreement is not None else None,
    )
    return ReloadPlan(config=config, same_classes=slots.unchanged, pending_restart=differences)


def _check_keys(running: Config, found: Config) -> None:
    """Raise `ConfigError` if the file lacks a key that the running configuration has."""
    keyed = any(request_class.keyed for request_class in found.names.classes.values())
    optional = OPTIONAL_KEYS if keyed else OPTIONAL_KEYS | KEYED_CLASS_KEYS
    missing = sorted(
        key for key in running.present_keys - found.present_keys if key.rpartition(".")[2] not in optional
    )
    if missing:
        message = f"configuration: {missing[0]} is missing"
        raise ConfigError(message)


def _fleet_membership(config: Config) -> tuple[bool, bool]:
    """Return whether lists come from a fleet's list service, and whether revisions are acted on."""
    return bool(config.registry), bool(config.agreement)


def _fixed_differences(running: Config, found: Config, names: WireNames) -> tuple[str, ...]:
    """Return what differs in the file although a running process can't change it."""
    before, after = running.settings, found.settings
    differences = [name for name in FIXED_SETTINGS if getattr(after, name) != getattr(before, name)]
    differences += [name for name in FIXED if getattr(found, name) != getattr(running, name)]
    if _fleet_membership(found) != _fleet_membership(running):
        differences.append("fleet")
    differences += [name for name in FIXED_NAMES if getattr(found.names, name) != getattr(names, name)]
    return tuple(dict.fromkeys(differences))


def _profiles(running: Config, found: Config, classes: Mapping[str, RequestClass]) -> tuple[Profile, ...]:
    """Return the profiles by slot: the file's, and those of dropped classes that may still be named."""
    # A dropped class has no higher priority weight than the others: the highest one scales the penalties.
    highest = max(profile.priority_weight for profile in found.settings.profiles)
    dropped = (
        replace(profile, priority_weight=min(profile.priority_weight, highest))
        for profile in running.settings.profiles
    )
    profiles = dict(enumerate(dropped))
    for name, request_class in found.names.classes.items():
        profiles[classes[name].slot] = found.settings.profiles[request_class.slot]
    return tuple(profiles[slot] for slot in range(len(profiles)))


def _assign_slots(running: Config, found: Config, busy: Collection[int]) -> _Slots:
    """Return the slot of each class: its old one if the class is the same, else a free one."""
    before = running.names.classes
    same = {
        name: replace(new, slot=before[name].slot)
        for name, new in found.names.classes.items()
        if name in before and (before[name].method, before[name].keyed) == (new.method, new.keyed)
    }
    unchanged = frozenset(request_class.slot for request_class in same.values())
    # Clients still name the classes of before for a while: their slots are used again later.
    taken = {*unchanged, *busy, *(old.slot for old in before.values())}
    free = (slot for slot in count() if slot not in taken)
    classes = {
        name: same.get(name) or replace(new, slot=next(free)) for name, new in found.names.classes.items()
    }
    return _Slots(classes, unchanged)
