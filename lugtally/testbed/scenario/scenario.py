"""Scenario files: TOML decoded once into frozen values; an error names the file, the table and the field.

The keys of the files are stored data: a field whose name differs from its key is listed in its ``rename`` table.

Units are part of the names: ``_s`` seconds, ``_ms`` milliseconds, ``_per_s`` a second; a share is a part of 1.  A
value of the type :data:`Range` is a number or a pair ``[least, most]`` from which the seed draws.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

Range = float | tuple[float, float]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1000)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]

FaultKind = Literal[
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
SIDECAR_PREFIX = "sidecar-"  # of the faults that the runner plays
LOAD_FAULTS = ("burst",)  # which are part of the arrivals

# By the effect of a class of requests: its word in the sidecar's settings, and its method.
EFFECT_SETTINGS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}


class ScenarioError(Exception):
    """The scenario cannot be used; the text is one line that names file, table and field."""


class RequestClass(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "latency_objective_ms": "aim_ms",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
        "deduplication_scope": "key_scope",
        "deduplication_window_ms": "key_ttl_ms",
    },
):
    """A class of requests, as in the table of the operators' brief."""

    name: str
    share: Share
    work_ms: Range  # mean work of one request on a core of speed 1, drawn for each run
    latency_objective_ms: Positive  # a response within it earns the full weight
    deadline_ms: Positive  # how long the client waits for the request with all its attempts
    priority_weight: Positive
    effect: Literal["safe", "keyed", "unsafe"]
    late_priority_weight: Share = 0.2  # share of the weight of a response between objective and deadline
    deduplication_scope: Literal["all", "zone", "cell"] = "zone"
    deduplication_window_ms: Positive = 600
    shape: Literal["lognormal", "pareto", "exponential", "fixed"] = "lognormal"
    spread: Positive = 0.5  # lognormal: sigma; pareto: index (over 1); not used by the others


class Fleet(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "congestion_threshold": "crowd_at",
        "congestion_loss": "crowd_loss",
        "choke_threshold": "choke_at",
        "choke_onset_s": "choke_over_s",
        "choke_slowdown": "choke_slower",
        "max_choke_s": "choke_most_s",
        "initial_capacity": "cold_from",
        "warm_up_s": "cold_s",
        "warm_up_by": "warm_by",
        "collapse_multiple": "fall_multiple",
        "collapse_window_s": "fall_after_s",
    },
):
    """The servers and the sidecars before them."""

    servers: Count = 10
    sidecars: Count = 4
    zones: tuple[str, ...] = ("east", "west")
    zone_skew: Share = 0.5  # share of the servers that are in the first zone
    cores: Count = 2
    slots_per_core: Count = 1  # requests in service at once
    queue_per_core: Count = 38
    speed: Range = (0.85, 1.1)  # of the whole run
    speed_cv: NotNegative = 0.1  # among the servers
    attempt_noise: NotNegative = 0.1  # standard deviation of an even factor on the work of each attempt
    congestion_threshold: Positive = 4.0  # requests a core from which efficiency falls
    congestion_loss: NotNegative = 0.4  # the efficiency: 1 / (1 + loss * (requests / threshold - 1))
    choke_threshold: Positive = 5.0  # requests a core that, sustained for choke_onset_s, choke the server
    choke_onset_s: Positive = 2.0
    choke_slowdown: Annotated[float, Meta(ge=1)] = 2.8
    choke_idle_s: Positive = 3.5  # idle for so long ends it
    max_choke_s: Positive = 25.0  # and so does this long in all
    initial_capacity: Share = 0.35  # share of the full capacity at its start
    warm_up_s: Positive = 5.0
    warm_up_by: Literal["time", "work"] = "work"
    collapse_multiple: Positive = 2.5  # times its present capacity that collapse a server that is warming up
    collapse_window_s: Positive = 1.0
    error_rate: Share = 0.0002
    pinned: bool = False  # each sidecar has a core of the machine for itself, as far as there are any
    drops_expired: bool = True  # a request that is past its deadline when its turn comes is rejected


class Network(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "max_connections": "connections",
        "handshake_round_trips": "handshake_trips",
        "full_table_loss": "full_tax",
        "idle_timeout_s": "idle_s",
        "health_check_ms": "probe_ms",
    },
):
    """What lies between: one-way times, and what a connection costs."""

    same_zone_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 0.7
    max_connections: Count = 68  # of one server
    handshake_ms: Range = (8.0, 12.8)  # work that a new connection costs the server
    handshake_round_trips: NotNegative = 2  # round trips before the first request on it
    full_table_loss: Share = 0.25  # share of the capacity that a full table of connections takes
    idle_timeout_s: Positive = 60  # the server closes a connection idle for so long
    health_check_ms: NotNegative = 0.18  # work of one health check


class Discovery(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "propagation_s": "notice_s",
        "silent_propagation_s": "silent_notice_s",
        "max_parallel_calls": "calls_at_once",
        "max_wait_s": "wait_most_s",
        "poll_within_s": "ask_within_s",
    },
):
    """The endpoint list: late, and one service of bounded capacity for all."""

    propagation_s: Range = (0.65, 3.0)  # from a change until the list shows it
    silent_propagation_s: Range = (6.3, 12)  # the same for a machine that sends nothing any more
    max_parallel_calls: Count = 4  # the others wait in turn
    call_ms: NotNegative = 2.0  # work of one call, beside a hundredth of it for each entry
    max_wait_s: Positive = 3.0  # a call that waited longer fails with 503
    poll_within_s: Positive = 10.0  # a sidecar without a call for so long counts as notified; 4 times, after a failure


class Load(Struct, frozen=True, forbid_unknown_fields=True):
    """What the clients send."""

    rate_per_s: Positive = 180.0  # first attempts of all sidecars together
    utilisation: Annotated[float, Meta(gt=0, le=3)] | None = None  # of the fleet; replaces the rate
    shape: Literal["steady", "wave", "bursty"] = "wave"
    swing: Share = 0.25  # of a wave, around the mean
    wave_s: Positive = 20.0
    sidecar_cv: NotNegative = 0.9  # how unevenly the sidecars are loaded


class Clients(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "attempt_share": "try_share",
        "backoff_ms": "wait_ms",
        "retry_after_share": "honour",
        "impatient_share": "impatient",
        "max_connections": "connections",
    },
):
    """What the applications do beside sending once."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    attempt_share: Share = 0.55  # of the deadline, after which an attempt is given up
    backoff_ms: NotNegative = 100  # before a retry; 0: at once
    retry_after_share: Share = 0.3  # share of the clients that follow Retry-After
    impatient_share: Share = 0.02  # share of the attempts whose connection is closed as they are given up
    max_connections: Count = 256  # that one application opens to its sidecar


class Fault(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"server_share": "part"},
):
    """Something that goes wrong, from an exact time on."""

    kind: FaultKind
    at_s: NotNegative
    for_s: Positive | None = None  # none: it stays
    server_share: Share | None = None  # of the servers, drawn by the seed; ``servers`` counts them instead
    servers: Count | None = None
    zone: str | None = None  # only servers of that zone
    same_as: Annotated[int, Meta(ge=0)] | None = None  # those of the fault at that place in the list
    sidecar: Annotated[int, Meta(ge=0)] = 0  # for sidecar-*
    size: NotNegative = 0.5  # share taken, factor, rate or probability, by kind
    on_off_s: tuple[float, float] | None = None  # seconds on and off, for a neighbour
    every_s: NotNegative = 0  # between one server and the next, for drain, restart and replace
    takes_s: NotNegative = 3.0  # how long a drained or restarting process stays away


class Expect(Struct, frozen=True, forbid_unknown_fields=True):
    """What makes a run pass, beside the rules.  Floors are 0.05 or more under what was measured."""

    service: Share = 0.0
    worst_class: Share = 0.0
    worst_10s: Share = 0.0


class Scenario(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"faults": "troubles"},
):
    """What one run plays."""

    name: str
    about: str
    length_s: Annotated[float, Meta(ge=1, le=3600)] = 20.0
    fleet: Fleet = Fleet()
    network: Network = Network()
    discovery: Discovery = Discovery()
    load: Load = Load()
    clients: Clients = Clients()
    classes: tuple[RequestClass, ...] = ()
    faults: tuple[Fault, ...] = ()
    expect: Expect = Expect()
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64, le=65536)] = 1024


DEFAULT_CLASSES = (
    RequestClass("campaign-read", 0.45, (28.0, 52.0), 300, 800, 1, "safe", 0.2, "all", 5000),
    RequestClass("pledge-record", 0.35, (47.0, 85.0), 500, 1000, 3, "keyed", 0.2, "zone", 600),
    RequestClass("receipt-issue", 0.20, (150.0, 280.0), 1000, 3000, 2, "unsafe", 0.3, "all", 5000),
)
