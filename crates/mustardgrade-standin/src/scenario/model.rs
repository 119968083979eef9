//! Data model of parsed scenarios.

use std::time::Duration;

use derive_more::Display;
use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::placement::AssignMethod;
use mustardgrade_core::rule::{DataCentreState, ServiceClass};

use super::machines::{ProcessorSpec, StoreLimits};

/// `DataCentreSpec` is a data centre with its entry hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: String,
    /// Number of entry hosts at the start, named `{name}-1`, `{name}-2` and so on.
    pub host_count: usize,
}

/// `ServiceSpec` is a service with its upstreams, assigned to the data centres in rotation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Whether the service carries flows or requests.
    pub class: ServiceClass,
    /// Number of upstreams at the start, named `{name}-1`, `{name}-2` and so on.
    pub upstream_count: usize,
    /// Number of slots of each upstream.
    pub slots_per_upstream: u16,
}

/// `FlowLoad` is the load of flows: persistent ones, and new ones with a limited lifetime.
///
/// The simulation with cookies has persistent flows only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowLoad {
    /// Number of persistent flows, which stay open for the whole run.
    pub held_flows: usize,
    /// Mean interval between two packets of a flow; with cookies, from an answer to the next
    /// request.
    pub mean_packet_interval: Duration,
    /// Rate of new flows, in addition to the persistent ones.
    pub new_flows_per_sec: u64,
    /// Mean time from the opening of a new flow until it is closed.
    pub mean_new_flow_lifetime: Duration,
}

/// `RequestLoad` is the load of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestLoad {
    /// Rate of new requests over all services.
    pub requests_per_sec: f64,
    /// Mean time that a warm upstream takes to serve a request.
    pub mean_service_time: Duration,
    /// Ratio of non-idempotent requests, which may run at most once, to all requests; 0 to 1.
    pub non_idempotent_ratio: f64,
    /// Time from the start of a request until its caller's deadline.
    pub caller_timeout: Duration,
}

/// `NetworkSpec` is the delay, loss and duplication of messages in the simulated network.
///
/// The simulation with cookies uses `loss_ratio` only, for messages between hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkSpec {
    /// Minimum one-way delay.
    pub min_delay: Duration,
    /// Maximum one-way delay.
    pub max_delay: Duration,
    /// Ratio of lost datagrams, and of lost segments of calls, to all; 0 to 1. Packets of flows are
    /// not lost.
    pub loss_ratio: f64,
    /// Ratio of datagrams that arrive twice to all; 0 to 1. Packets of flows are not duplicated.
    pub duplicate_ratio: f64,
}

impl Default for NetworkSpec {
    fn default() -> Self {
        let delay = Duration::from_millis(1);
        Self { min_delay: delay, max_delay: delay, loss_ratio: 0.0, duplicate_ratio: 0.0 }
    }
}

/// `ScenarioOptions` are settings of the hosts and of the fabric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScenarioOptions {
    /// How hosts assign flows to upstreams in a simulation with rules.
    pub placement_mode: PlacementMode,
    /// Whether flows are placed by cookie, in a simulation without rules and placement documents.
    pub uses_cookies: bool,
    /// Whether the fabric sends each packet to a random host; otherwise it hashes flows to hosts.
    pub fabric_sprays: bool,
    /// Algorithm that assigns buckets to upstreams.
    pub assign_method: AssignMethod,
    /// Duration of the collecting phase of a bucket that moves; flows without a packet for this
    /// time are considered closed.
    pub collecting_duration: Duration,
    /// Time after which a caller gives up an opening, with cookies; otherwise it gives up at the
    /// timeout of the request.
    pub opening_timeout: Option<Duration>,
    /// Maximum time until the traffic threads of a host carry out what its controller has decided;
    /// each decision takes a random time up to it.
    pub max_thread_lag: Duration,
    /// Whether announced moves wait until all hosts have acknowledged them. Disabled only to show
    /// that flows break without it.
    pub wait_for_acknowledgement: bool,
}

impl Default for ScenarioOptions {
    fn default() -> Self {
        Self {
            placement_mode: PlacementMode::Guarded,
            uses_cookies: false,
            fabric_sprays: false,
            assign_method: AssignMethod::Bounded,
            collecting_duration: Duration::from_secs(60),
            opening_timeout: None,
            max_thread_lag: Duration::ZERO,
            wait_for_acknowledgement: true,
        }
    }
}

/// `StoreFault` is a fault that a scenario injects into the store.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// Calls fail and have no effect.
    #[display("down")]
    Down,
    /// Answers are delayed: with rules, the one-way delay to or from the store is a second longer;
    /// with cookies, the store answers after 900 ms.
    #[display("slow")]
    Slow,
    /// Answers are lost: with rules, those of writes that take effect; with cookies, those of all
    /// calls.
    #[display("lost-answer")]
    LostAnswer,
}

/// `EventAction` is the action of a scripted event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventAction {
    /// Sets an upstream's state to draining.
    DrainUpstream(String),
    /// Sets an upstream's state to serving.
    ServeUpstream(String),
    /// Removes an upstream: with rules, by setting its state to gone; with cookies, by stopping it
    /// and removing its registration.
    RemoveUpstream(String),
    /// Adds a new, cold upstream to a service.
    AddUpstream {
        /// Name of the service.
        service: String,
        /// Name of the upstream.
        upstream: String,
    },
    /// Ends a host without a graceful stop.
    KillHost(String),
    /// Stops a host gracefully.
    StopHost(String),
    /// Stops a host gracefully and starts another one in the same data centre.
    ReplaceHost(String),
    /// Starts a new host in a data centre.
    StartHost {
        /// Name of the host.
        host: String,
        /// Name of the data centre.
        data_centre: String,
    },
    /// Suspends a host for a time, as when its process is frozen.
    PauseHost {
        /// Name of the host.
        host: String,
        /// Duration of the pause.
        duration: Duration,
    },
    /// Cuts a data centre off from the others and from the store for a time.
    IsolateDataCentre {
        /// Name of the data centre.
        data_centre: String,
        /// Duration of the isolation.
        duration: Duration,
    },
    /// Takes a data centre out of or back into service.
    SetDataCentreState {
        /// Name of the data centre.
        data_centre: String,
        /// New state of the data centre.
        state: DataCentreState,
    },
    /// The store fails and returns from an older copy of itself. It has lost what was written since
    /// the copy, until the writers write it again.
    RestoreStore {
        /// Age of the copy when the store fails.
        copy_age: Duration,
        /// Time for which the store is down.
        downtime: Duration,
    },
    /// Injects a fault into the store for a time.
    InjectStoreFault {
        /// Kind of the fault.
        fault: StoreFault,
        /// Duration of the fault.
        duration: Duration,
    },
    /// Ends an upstream and later starts one of another service at the same address.
    ReuseUpstreamAddress {
        /// Name of the upstream that ends.
        upstream: String,
        /// Name of the service of the new upstream.
        service: String,
    },
    /// Ends every host that watches the store, without a graceful stop.
    KillWatchingHosts,
    /// Ends all hosts at once; they start again after this time.
    PowerLoss(Duration),
    /// Writes the next version of the manifest to the store.
    PublishManifest,
    /// With rules, makes an upstream of a request service cold without notice; with cookies, does
    /// the same as `RestartUpstream`.
    TurnUpstreamCold(String),
    /// Restarts an upstream: requests in service are lost, with cookies also its flows, and it is
    /// cold afterwards.
    RestartUpstream(String),
}

/// `TimedEvent` is a scripted event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvent {
    /// Time of the event, from the start of the run.
    pub at: Duration,
    /// Action to carry out.
    pub action: EventAction,
}

/// `Comparison` is whether a bound limits a figure from above or from below.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// The limit is a maximum.
    #[display("<=")]
    AtMost,
    /// The limit is a minimum.
    #[display(">=")]
    AtLeast,
}

/// `FigureBound` is a limit that a figure must keep in every run.
#[derive(Debug, Clone, PartialEq)]
pub struct FigureBound {
    /// Name of the figure.
    pub figure_name: String,
    /// Whether the limit is a maximum or a minimum.
    pub comparison: Comparison,
    /// The limit, in the unit of the figure.
    pub limit: f64,
}

impl FigureBound {
    /// Returns whether a value is within the limit.
    #[must_use]
    pub fn is_kept_by(&self, value: f64) -> bool {
        match self.comparison {
            Comparison::AtMost => value <= self.limit,
            Comparison::AtLeast => value >= self.limit,
        }
    }
}

/// `Scenario` is a parsed scenario file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scenario {
    /// Title, printed above the figures.
    pub title: String,
    /// Data centres and their hosts at the start.
    pub data_centres: Vec<DataCentreSpec>,
    /// Services and their upstreams at the start.
    pub services: Vec<ServiceSpec>,
    /// Load of flows.
    pub flow_load: FlowLoad,
    /// Load of requests.
    pub request_load: RequestLoad,
    /// Delay, loss and duplication of messages.
    pub network: NetworkSpec,
    /// Settings of the hosts and of the fabric.
    pub options: ScenarioOptions,
    /// Processors of the hosts, if their time is simulated.
    pub processors: Option<ProcessorSpec>,
    /// Limits of the store, if it has any.
    pub store_limits: Option<StoreLimits>,
    /// Simulated time that the run lasts.
    pub duration: Duration,
    /// Time from the start after which steady-state figures are taken.
    pub warm_up_duration: Duration,
    /// Scripted events, ordered by time.
    pub events: Vec<TimedEvent>,
    /// Bounds on figures.
    pub bounds: Vec<FigureBound>,
}
