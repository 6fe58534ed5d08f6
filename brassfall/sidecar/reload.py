"""The changes that a configuration read again makes in a running sidecar."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from itertools import count

from brassfall.balancer.settings import Profile
from brassfall.sidecar.config import KEYED_CLASS_KEYS, Config, ConfigError
from brassfall.sidecar.config_values import RequestClass, WireNames

# Optional keys, which a reload may add or remove.
OPTIONAL_KEYS = frozenset(("AimStretch", "PassesDeadline", "WarmKeys"))
# Parts of the configuration, of its settings and of its names that a running process can't change, because
# they are tied to its sockets, to the servers that it knows or to its place in the fleet.
FIXED_CONFIG = ("name", "listen", "operator", "limits", "peer_listen", "peers", "peers_all")
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
    """A configuration that replaces the running one, and how it differs."""

    config: Config
    same_classes: frozenset[int]  # Slots of the request classes that the reload keeps unchanged
    pending_restart: tuple[str, ...]  # Names of values that differ in the file but need a restart


@dataclass(frozen=True, slots=True)
class _SlotAssignment:
    """The assignment of slots to request classes."""

    classes: Mapping[str, RequestClass]
    unchanged: frozenset[int]  # Slots of the request classes that the reload keeps unchanged


def plan_reload(running: Config, loaded: Config, slots_in_use: Collection[int]) -> ReloadPlan:
    """Return the running configuration with the changes from the file that need no restart.

    `loaded` is the configuration loaded from the file. `slots_in_use` has the slots of classes that requests
    or clients still use. Raise `ConfigError` if the file lacks a key that the running configuration has.
    """
    _check_keys(running, loaded)
    assignment = _assign_slots(running, loaded, slots_in_use)
    names = replace(running.names, classes=assignment.classes)
    differences = _fixed_differences(running, loaded, names)
    if _fleet_membership(loaded) != _fleet_membership(running):
        loaded = replace(loaded, registry=running.registry, discovery=running.discovery)
    fixed = {name: getattr(running.settings, name) for name in FIXED_SETTINGS}
    config = replace(
        running,
        discovery=loaded.discovery,
        registry=loaded.registry,
        settings=replace(loaded.settings, profiles=_profiles(running, loaded, assignment.classes), **fixed),
        names=names,
        max_open_requests=loaded.max_open_requests,
        drain_grace=loaded.drain_grace,
        present_keys=loaded.present_keys,
        agreement=loaded.agreement if running.agreement is not None else None,
    )
    return ReloadPlan(config=config, same_classes=assignment.unchanged, pending_restart=differences)


def _check_keys(running: Config, loaded: Config) -> None:
    """Raise `ConfigError` if the file lacks a key that the running configuration has."""
    keyed = any(request_class.keyed for request_class in loaded.names.classes.values())
    optional = OPTIONAL_KEYS if keyed else OPTIONAL_KEYS | KEYED_CLASS_KEYS
    missing = sorted(
        key for key in running.present_keys - loaded.present_keys if key.rpartition(".")[2] not in optional
    )
    if missing:
        message = f"configuration: {missing[0]} is missing, which the running configuration has"
        raise ConfigError(message)


def _fleet_membership(config: Config) -> tuple[bool, bool]:
    """Return whether a list service is used, and whether configuration revisions are applied."""
    return bool(config.registry), bool(config.agreement)


def _fixed_differences(running: Config, loaded: Config, names: WireNames) -> tuple[str, ...]:
    """Return the names of values that differ in the file and that a running process can't change."""
    before, after = running.settings, loaded.settings
    differences = [name for name in FIXED_SETTINGS if getattr(after, name) != getattr(before, name)]
    differences += [name for name in FIXED_CONFIG if getattr(loaded, name) != getattr(running, name)]
    if _fleet_membership(loaded) != _fleet_membership(running):
        differences.append("fleet")
    differences += [name for name in FIXED_NAMES if getattr(loaded.names, name) != getattr(names, name)]
    return tuple(dict.fromkeys(differences))


def _profiles(running: Config, loaded: Config, classes: Mapping[str, RequestClass]) -> tuple[Profile, ...]:
    """Return the profiles by slot: those of the file, and of removed classes that may still be in use."""
    # A removed class gets no higher priority weight than the classes in the file, because the highest
    # priority weight scales the penalties.
    max_weight = max(profile.priority_weight for profile in loaded.settings.profiles)
    previous_profiles = (
        replace(profile, priority_weight=min(profile.priority_weight, max_weight))
        for profile in running.settings.profiles
    )
    profiles = dict(enumerate(previous_profiles))
    for name, request_class in loaded.names.classes.items():
        profiles[classes[name].slot] = loaded.settings.profiles[request_class.slot]
    return tuple(profiles[slot] for slot in range(len(profiles)))


def _assign_slots(running: Config, loaded: Config, slots_in_use: Collection[int]) -> _SlotAssignment:
    """Assign a slot to each request class: its old slot if the class is unchanged, else a free slot.

    A class whose keys other servers share, or share for another time, is another class: clients go on using
    the previous one for a while, and its requests may be sent again only under its own limits.
    """
    before = running.names.classes
    same = {
        name: replace(new, slot=before[name].slot)
        for name, new in loaded.names.classes.items()
        if name in before and new.same_semantics(before[name])
    }
    unchanged = frozenset(request_class.slot for request_class in same.values())
    # Clients may use the previous classes for a while, so that their slots are not free yet.
    taken = {*unchanged, *slots_in_use, *(old.slot for old in before.values())}
    free = (slot for slot in count() if slot not in taken)
    classes = {
        name: same.get(name) or replace(new, slot=next(free)) for name, new in loaded.names.classes.items()
    }
    return _SlotAssignment(classes, unchanged)
