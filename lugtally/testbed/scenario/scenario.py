"""Contents of a scenario file, with defaults and limits.

The keys of the files are stored data: a field whose name differs from its key is listed in the ``rename`` table of its
struct.

Names include the unit: ``_s`` seconds, ``_ms`` milliseconds, ``_per_s`` per second; a share is between 0 and 1.  A
value of type :data:`Range` is a number, or a pair ``[lower, upper]`` between which a value is drawn with the seed.
"""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta, Struct


class Bounds(NamedTuple):
    """The limits between which a value is drawn."""

    lower: float
    upper: float


Range = float | Bounds
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
SIDECAR_PREFIX = "sidecar-"  # of the kinds of faults that the runner applies
LOAD_FAULTS = ("burst",)  # kinds of faults that are applied when the arrivals are drawn

# By the effect of a request class: its name in the sidecar's settings, and the HTTP method of the requests.
EFFECT_SETTINGS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}


class ScenarioError(Exception):
    """The scenario is invalid.  The message is one line that names the file, table and field."""


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
    """A request class: its share of the load, its work, its objectives and its effect."""

    name: str
    share: Share
    work_ms: Range  # mean work of a request on a core of speed 1, drawn for each run
    latency_objective_ms: Positive  # a response within this time earns the full weight
    deadline_ms: Positive  # how long the client waits, all attempts together
    priority_weight: Positive
    effect: Literal["safe", "keyed", "unsafe"]
    late_priority_weight: Share = 0.2  # share of the weight that a response between objective and deadline earns
    deduplication_scope: Literal["all", "zone", "cell"] = "zone"
    deduplication_window_ms: Positive = 600
    shape: Literal["lognormal", "pareto", "exponential", "fixed"] = "lognormal"
    spread: Positive = 0.5  # lognormal: sigma; pareto: index (above 1); otherwise unused


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
    """The servers and the sidecars."""

    servers: Count = 10
    sidecars: Count = 4
    zones: tuple[str, ...] = ("east", "west")
    zone_skew: Share = 0.5  # share of the servers in the first zone
    cores: Count = 2
    slots_per_core: Count = 1  # maximum number of requests in service per core
    queue_per_core: Count = 38
    speed: Range = Bounds(0.85, 1.1)  # core-seconds of work per second and core, drawn for each run
    speed_cv: NotNegative = 0.1  # coefficient of variation of the speed among the servers
    attempt_noise: NotNegative = 0.1  # standard deviation of a uniform factor on the work of each attempt
    congestion_threshold: Positive = 4.0  # requests per core above which the speed falls
    congestion_loss: NotNegative = 0.4  # speed factor: 1 / (1 + loss * (requests / threshold - 1))
    choke_threshold: Positive = 5.0  # requests per core above which the server chokes after choke_onset_s
    choke_onset_s: Positive = 2.0
    choke_slowdown: Annotated[float, Meta(ge=1)] = 2.8  # factor by which a choked server is slower
    choke_idle_s: Positive = 3.5  # of idleness that ends the choke
    max_choke_s: Positive = 25.0  # after which a choke ends in any case
    initial_capacity: Share = 0.35  # share of the full capacity at a cold start
    warm_up_s: Positive = 5.0
    warm_up_by: Literal["time", "work"] = "work"
    collapse_multiple: Positive = 2.5  # of the present capacity, above which a server collapses during its warm-up
    collapse_window_s: Positive = 1.0  # over which the arriving work is averaged
    error_rate: Share = 0.0002  # share of the responses that are errors without any fault
    pinned: bool = False  # pin each sidecar to a separate core, as far as the machine has enough
    drops_expired: bool = True  # servers drop a request that is past its deadline when it arrives or leaves the queue


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
    """The network between sidecars and servers, and the cost of connections."""

    same_zone_ms: NotNegative = 0.2  # one-way delay
    cross_zone_ms: NotNegative = 0.7
    max_connections: Count = 68  # in the connection table of one server
    handshake_ms: Range = Bounds(8.0, 12.8)  # work of the server for each new connection
    handshake_round_trips: NotNegative = 2  # round trips before the first request of a connection
    full_table_loss: Share = 0.25  # share of the capacity that a full connection table costs
    idle_timeout_s: Positive = 60  # after which the server closes an idle connection
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
    """The discovery service, with its propagation delays and limited capacity."""

    propagation_s: Range = Bounds(0.65, 3.0)  # from a change until the endpoint list contains it
    silent_propagation_s: Range = Bounds(6.3, 12)  # the same for a machine that disappears silently
    max_parallel_calls: Count = 4  # of all sidecars together
    call_ms: NotNegative = 2.0  # duration of a call without entries; each entry adds a hundredth of it
    max_wait_s: Positive = 3.0  # longest wait of a call for capacity, after which it fails with 503
    poll_within_s: Positive = 10.0  # a sidecar counts as notified this long after its last call; 4 times if that failed


class Load(Struct, frozen=True, forbid_unknown_fields=True):
    """The rate of the clients' requests."""

    rate_per_s: Positive = 180.0  # first attempts, for all sidecars together
    utilisation: Annotated[float, Meta(gt=0, le=3)] | None = None  # of the capacity of the fleet; replaces rate_per_s
    shape: Literal["steady", "wave", "bursty"] = "wave"
    swing: Share = 0.25  # amplitude of a wave, or sigma of a bursty load
    wave_s: Positive = 20.0  # period of a wave
    sidecar_cv: NotNegative = 0.9  # coefficient of variation of the load among the sidecars


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
    """Retries, timeouts and connections of the applications."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 3
    attempt_share: Share = 0.55  # share of the deadline after which an attempt times out
    backoff_ms: NotNegative = 100  # before a retry
    retry_after_share: Share = 0.3  # share of the clients that follow Retry-After
    impatient_share: Share = 0.02  # share of the attempts whose connection the client closes at their timeout
    max_connections: Count = 256  # from one application to its sidecar


class Fault(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"server_share": "part"},
):
    """A fault of servers, the network, discovery, the load or a sidecar."""

    kind: FaultKind
    at_s: NotNegative
    for_s: Positive | None = None  # None: until the end of the run
    server_share: Share | None = None  # share of the servers, which are drawn with the seed
    servers: Count | None = None  # number of servers, instead of the share
    zone: str | None = None  # only servers of that zone
    same_as: Annotated[int, Meta(ge=0)] | None = None  # index of an earlier fault, whose servers this one affects too
    sidecar: Annotated[int, Meta(ge=0)] = 0  # index of the sidecar, for the kinds sidecar-*
    size: NotNegative = 0.5  # share, factor, duration or probability, depending on the kind
    on_off_s: Bounds | None = None  # duration of each on phase and each off phase, for a fault that goes on and off
    every_s: NotNegative = 0  # delay between one server and the next, for drain, restart and replace
    takes_s: NotNegative = 3.0  # duration of a drain, or of the downtime of a crash


class Expect(Struct, frozen=True, forbid_unknown_fields=True):
    """Minimum scores of a run that passes.  They are 0.05 or more below the measured scores."""

    service: Share = 0.0
    worst_class: Share = 0.0
    worst_10s: Share = 0.0


class Scenario(
    Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"faults": "troubles"},
):
    """A scenario, from which a run is drawn with a seed."""

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
    RequestClass("campaign-read", 0.45, Bounds(28.0, 52.0), 300, 800, 1, "safe", 0.2, "all", 5000),
    RequestClass("pledge-record", 0.35, Bounds(47.0, 85.0), 500, 1000, 3, "keyed", 0.2, "zone", 600),
    RequestClass("receipt-issue", 0.20, Bounds(150.0, 280.0), 1000, 3000, 2, "unsafe", 0.3, "all", 5000),
)
