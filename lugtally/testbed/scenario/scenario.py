"""Scenario files: TOML decoded once into frozen values; a fault names the file, the table and the field.

Units are part of the names: ``_s`` seconds, ``_ms`` milliseconds, ``_per_s`` a second; a share is a part of 1.  A
value of the type :data:`Range` is a number or a pair ``[least, most]`` from which the seed draws.
"""

from __future__ import annotations

import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Range = float | tuple[float, float]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1000)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]

TROUBLES = Literal[
    "silent",
    "neighbour",
    "shared-slow",
    "burst",
    "drain",
    "restart",
    "replace",
    "crash",
    "vanish",
    "refuse",
    "never-up",
    "reset",
    "slow-bytes",
    "spoilt",
    "errors",
    "join",
    "discovery-down",
    "discovery-slow",
    "sidecar-kill",
    "sidecar-term",
    "sidecar-hup",
    "sidecar-starved",
]
TAKES_EFFECT = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}  # of the requests of a class, by its effect


class ScenarioError(Exception):
    """The scenario cannot be used; the text is one line that names file, table and field."""


class Class(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests, as in the table of the operators' brief."""

    name: str
    share: Share
    work_ms: Range  # mean work of one request on a core of speed 1, drawn for each run
    aim_ms: Positive  # an answer within it earns the full worth
    deadline_ms: Positive  # the client's patience for the request with all its tries
    worth: Positive
    effect: Literal["safe", "keyed", "unsafe"]
    late_worth: Share = 0.2  # part of the worth of an answer between aim and deadline
    key_scope: Literal["all", "zone", "cell"] = "zone"
    key_ttl_ms: Positive = 600
    shape: Literal["lognormal", "pareto", "exponential", "fixed"] = "lognormal"
    spread: Positive = 0.5  # lognormal: sigma; pareto: index (over 1); not used by the others


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """The pledge servers and the sidecars before them."""

    servers: Count = 10
    sidecars: Count = 4
    zones: tuple[str, ...] = ("east", "west")
    zone_skew: Share = 0.5  # part of the servers that stand in the first zone
    cores: Count = 2
    slots_per_core: Count = 1  # requests in work at once
    queue_per_core: Count = 38  # the waiting room
    speed: Range = (0.85, 1.1)  # of the whole run
    speed_cv: NotNegative = 0.1  # among the servers
    attempt_noise: NotNegative = 0.1  # standard deviation of an even factor on the work of each attempt
    crowd_at: Positive = 4.0  # requests a core from which efficiency falls
    crowd_loss: NotNegative = 0.4  # fall: 1 / (1 + loss * (held / crowd_at - 1))
    choke_at: Positive = 5.0  # requests a core that, held for choke_over_s, choke the server
    choke_over_s: Positive = 2.0
    choke_slower: Annotated[float, Meta(ge=1)] = 2.8
    choke_idle_s: Positive = 3.5  # idle for so long ends it
    choke_most_s: Positive = 25.0  # and so does this long in all
    cold_from: Share = 0.35  # part of the full capacity at its start
    cold_s: Positive = 5.0
    warm_by: Literal["time", "work"] = "work"
    fall_multiple: Positive = 2.5  # times its present capacity that push a cold server over
    fall_after_s: Positive = 1.0
    error_rate: Share = 0.0002
    pinned: bool = False  # each sidecar has a core of the machine for itself, as far as they go
    drops_expired: bool = True  # a request that is over when its turn comes is turned away


class Network(Struct, frozen=True, forbid_unknown_fields=True):
    """What lies between: one-way times, and what a connection costs."""

    same_zone_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 0.7
    connections: Count = 68  # the most that one server holds
    handshake_ms: Range = (8.0, 12.8)  # work that a new connection costs the server
    handshake_trips: NotNegative = 2  # round trips before the first request on it
    full_tax: Share = 0.25  # part of the capacity that a full table of connections takes
    idle_s: Positive = 60  # the server closes a connection idle for so long
    probe_ms: NotNegative = 0.18  # work of one probe


class Discovery(Struct, frozen=True, forbid_unknown_fields=True):
    """The server list: late, and one service of bounded capacity for all."""

    notice_s: Range = (0.65, 3.0)  # from a change to its place in the list
    silent_notice_s: Range = (6.3, 12)  # the same for a machine that says nothing any more
    calls_at_once: Count = 4  # calls in work; the others wait in turn
    call_ms: NotNegative = 2.0  # work of one call, beside a hundredth of it a line
    wait_most_s: Positive = 3.0  # a call that waited longer fails with 503
    ask_within_s: Positive = 10.0  # a sidecar without a call for so long counts as told; 4 times after a failure


class Load(Struct, frozen=True, forbid_unknown_fields=True):
    """What the clients ask for."""

    rate_per_s: Positive = 180.0  # first tries of all sidecars together
    utilisation: Annotated[float, Meta(gt=0, le=3)] | None = None  # of the fleet; in the place of the rate
    shape: Literal["steady", "wave", "bursty"] = "wave"
    swing: Share = 0.25  # of a wave, around the mean
    wave_s: Positive = 20.0
    sidecar_cv: NotNegative = 0.9  # how unevenly the sidecars are loaded


class Clients(Struct, frozen=True, forbid_unknown_fields=True):
    """What the applications do beside asking once."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    try_share: Share = 0.55  # of the deadline, after which a try is given up
    wait_ms: NotNegative = 100  # before a retry; 0: at once
    honour: Share = 0.3  # part of the clients that follow Retry-After
    impatient: Share = 0.02  # part of the tries whose connection is closed as they are given up
    connections: Count = 256  # the most that one application opens to its sidecar


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """Something that goes wrong, from an exact time on."""

    kind: TROUBLES
    at_s: NotNegative
    for_s: Positive | None = None  # none: it stays
    part: Share | None = None  # of the servers, drawn by the seed; ``servers`` counts them instead
    servers: Count | None = None
    zone: str | None = None  # only servers of that zone
    same_as: Annotated[int, Meta(ge=0)] | None = None  # those of the trouble of that place in the list
    sidecar: Annotated[int, Meta(ge=0)] = 0  # for sidecar-*
    size: NotNegative = 0.5  # share taken, factor, rate or probability, by kind
    on_off_s: tuple[float, float] | None = None  # seconds on and off, for a neighbour
    every_s: NotNegative = 0  # between one server and the next, for drain, restart and replace
    takes_s: NotNegative = 3.0  # how long a drained or restarting process stays away


class Expect(Struct, frozen=True, forbid_unknown_fields=True):
    """What makes a run pass, beside the rules.  Floors lie 0.05 or more under what was measured."""

    service: Share = 0.0
    worst_class: Share = 0.0
    worst_10s: Share = 0.0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A day to rehearse."""

    name: str
    about: str
    length_s: Annotated[float, Meta(ge=1, le=3600)] = 20.0
    fleet: Fleet = Fleet()
    network: Network = Network()
    discovery: Discovery = Discovery()
    load: Load = Load()
    clients: Clients = Clients()
    classes: tuple[Class, ...] = ()
    troubles: tuple[Trouble, ...] = ()
    expect: Expect = Expect()
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64, le=65536)] = 1024


USUAL = (
    Class("campaign-read", 0.45, (28.0, 52.0), 300, 800, 1, "safe", 0.2, "all", 5000),
    Class("pledge-record", 0.35, (47.0, 85.0), 500, 1000, 3, "keyed", 0.2, "zone", 600),
    Class("receipt-issue", 0.20, (150.0, 280.0), 1000, 3000, 2, "unsafe", 0.3, "all", 5000),
)


def _where(error: str) -> str:
    """``$.fleet.servers`` at the end of msgspec's message, as table and field in front."""
    text, _, place = error.partition(" - at `$")
    place = place.rstrip("`").lstrip(".")
    if not place:
        return text
    return f"{place}: {text}"


def decode(text: str, name: str) -> Scenario:
    """A scenario from the text of a file called ``name``; a :class:`ScenarioError` says what is wrong."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: no TOML: {error}") from error
    return checked(raw, name)


def checked(raw: dict[str, Any], name: str) -> Scenario:
    """The same from the tree of values that a file holds."""
    try:
        told = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{name}: {_where(str(error))}") from error
    if not told.classes:
        told = msgspec.structs.replace(told, classes=USUAL)
    _check(told, name)
    return told


def _check(told: Scenario, name: str) -> None:
    """What types alone do not say."""

    def wrong(field: str, text: str) -> ScenarioError:
        return ScenarioError(f"{name}: {field}: {text}")

    def ordered(table: str, part: Struct) -> None:
        for field in part.__struct_fields__:
            value = getattr(part, field)
            if isinstance(value, tuple) and len(value) == 2 and all(isinstance(v, float) for v in value):
                if field != "on_off_s" and not 0 <= value[0] <= value[1]:
                    raise wrong(f"{table}.{field}", f"{list(value)} is no range [least, most]")

    for table in ("fleet", "network", "discovery", "load", "clients"):
        ordered(table, getattr(told, table))
    for at, cls in enumerate(told.classes):
        ordered(f"classes[{at}]", cls)
        if cls.aim_ms > cls.deadline_ms:
            raise wrong(f"classes[{at}].aim_ms", "is longer than the deadline")
        if cls.shape == "pareto" and cls.spread <= 1:
            raise wrong(f"classes[{at}].spread", "a pareto index must be above 1 for a mean to exist")
    total = sum(cls.share for cls in told.classes)
    if abs(total - 1) > 0.001:
        raise wrong("classes", f"the shares add up to {total:.3f}, not to 1")
    if len({cls.name for cls in told.classes}) < len(told.classes):
        raise wrong("classes", "two have the same name")
    if not told.fleet.zones:
        raise wrong("fleet.zones", "is empty")
    for at, trouble in enumerate(told.troubles):
        field = f"troubles[{at}]"
        if trouble.at_s >= told.length_s:
            raise wrong(f"{field}.at_s", f"{trouble.at_s} is not within the {told.length_s} s of the run")
        if trouble.zone is not None and trouble.zone not in told.fleet.zones:
            raise wrong(f"{field}.zone", f"{trouble.zone!r} is no zone of the fleet")
        if trouble.same_as is not None and trouble.same_as >= at:
            raise wrong(f"{field}.same_as", "names no earlier trouble")
        if trouble.kind == "sidecar-starved" and not (told.fleet.pinned and trouble.size < 1):
            raise wrong(field, "sidecar-starved needs fleet.pinned and a size, the share taken, under 1")
        if trouble.kind.startswith("sidecar-") and trouble.sidecar >= told.fleet.sidecars:
            raise wrong(f"{field}.sidecar", f"there are {told.fleet.sidecars} sidecars")
        if trouble.servers is not None and trouble.servers > told.fleet.servers and trouble.kind != "join":
            raise wrong(f"{field}.servers", f"there are {told.fleet.servers} servers")


def library() -> dict[str, str]:
    """The scenarios that are shipped: name to text."""
    folder = resources.files("lugtally.testbed") / "scenarios"
    return {
        entry.name.removesuffix(".toml"): entry.read_text(encoding="utf-8")
        for entry in sorted(folder.iterdir(), key=lambda e: e.name)
        if entry.name.endswith(".toml")
    }


def load(name: str) -> Scenario:
    """A shipped scenario by its name, or a file by its path."""
    shipped = library()
    if name in shipped:
        return decode(shipped[name], f"{name}.toml")
    path = Path(name)
    if path.suffix not in (".toml", ".json"):
        raise ScenarioError(f"{name}: no shipped scenario of that name, and no .toml file")
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{name}: {error.strerror}") from error
    if path.suffix == ".json":  # as experiments write them
        return checked(msgspec.json.decode(text), path.name)
    return decode(text, path.name)
