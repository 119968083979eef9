//! Scenarios as data.

use std::time::Duration;

use derive_more::Display;
use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::placement::AssignMethod;
use mustardgrade_core::rule::{DataCentreState, ServiceClass};

/// `DataCentreSpec` is a data centre with its entry hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreSpec {
    /// Its name.
    pub name: String,
    /// Its entry hosts, named after it with numbers from 1.
    pub host_count: usize,
}

/// `ServiceSpec` is a service with its upstreams, which stand in the data centres in turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// What it carries.
    pub class: ServiceClass,
    /// Its upstreams, named after it with numbers from 1.
    pub upstream_count: usize,
    /// Slots of each upstream.
    pub slots_per_upstream: u16,
}

/// `FlowLoad` is the load of long flows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowLoad {
    /// Flows that are open from the start to the end.
    pub held_flows: usize,
    /// Mean time between two packets of a flow.
    pub mean_packet_interval: Duration,
    /// New flows a second.
    pub new_flows_per_sec: u64,
    /// Life of a new flow.
    pub mean_new_flow_lifetime: Duration,
}

/// `RequestLoad` is the load of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequestLoad {
    /// Requests a second.
    pub requests_per_sec: f64,
    /// Mean service time at a warm upstream.
    pub mean_service_time: Duration,
    /// Share of non-idempotent requests, 0 to 1.
    pub non_idempotent_ratio: f64,
    /// Patience of callers.
    pub caller_timeout: Duration,
}

/// `NetworkSpec` is the behaviour of the network between hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NetworkSpec {
    /// Shortest one-way delay.
    pub min_delay: Duration,
    /// Longest one-way delay.
    pub max_delay: Duration,
    /// Share of control datagrams lost, 0 to 1.
    pub loss_ratio: f64,
    /// Share of control datagrams that arrive twice, 0 to 1.
    pub duplicate_ratio: f64,
}

impl Default for NetworkSpec {
    fn default() -> Self {
        let delay = Duration::from_millis(1);
        Self { min_delay: delay, max_delay: delay, loss_ratio: 0.0, duplicate_ratio: 0.0 }
    }
}

/// `ScenarioOptions` are settings of the hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScenarioOptions {
    /// How flows stay with their upstream.
    pub placement_mode: PlacementMode,
    /// Whether flows are placed by cookie, in a world without rules and placement documents.
    pub uses_cookies: bool,
    /// Whether the fabric hands each packet to any host, not those of a flow to one by their hash.
    pub fabric_sprays: bool,
    /// How buckets are given to upstreams.
    pub assign_method: AssignMethod,
    /// Time for which moved buckets collect their old flows.
    pub collecting_duration: Duration,
    /// Whether announced moves wait for the echo of all hosts; only broken on purpose.
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
            wait_for_acknowledgement: true,
        }
    }
}

/// `StoreFault` says how the store misbehaves.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It answers nothing.
    #[display("down")]
    Down,
    /// It answers after a second.
    #[display("slow")]
    Slow,
    /// Writes take effect but their answers are lost.
    #[display("lost-answer")]
    LostAnswer,
}

/// `EventAction` is what happens at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventAction {
    /// An upstream is declared draining.
    DrainUpstream(String),
    /// An upstream is declared serving.
    ServeUpstream(String),
    /// An upstream is declared gone.
    RemoveUpstream(String),
    /// A new upstream of a service is added to the rules, cold.
    AddUpstream {
        /// Name of the service.
        service: String,
        /// Name of the upstream.
        upstream: String,
    },
    /// A host dies.
    KillHost(String),
    /// A host is stopped gracefully.
    StopHost(String),
    /// A host is stopped gracefully and another one started in its data centre.
    ReplaceHost(String),
    /// A new host starts in a data centre.
    StartHost {
        /// Name of the host.
        host: String,
        /// Name of the data centre.
        data_centre: String,
    },
    /// A host does not run for a while.
    PauseHost {
        /// Name of the host.
        host: String,
        /// Length of the pause.
        duration: Duration,
    },
    /// A data centre is cut off from the others and from the store.
    IsolateDataCentre {
        /// Name of the data centre.
        data_centre: String,
        /// Length of the cut.
        duration: Duration,
    },
    /// A data centre is taken out or in.
    SetDataCentreState {
        /// Name of the data centre.
        data_centre: String,
        /// Its new state.
        state: DataCentreState,
    },
    /// The store misbehaves for a while.
    InjectStoreFault {
        /// How.
        fault: StoreFault,
        /// For how long.
        duration: Duration,
    },
    /// Another upstream, of a service, comes up at the address of one that ends.
    ReuseUpstreamAddress {
        /// Name of the upstream that ends.
        upstream: String,
        /// Name of the service.
        service: String,
    },
    /// Every host that watches the store dies.
    KillWatchingHosts,
    /// All hosts lose power and start again after a while.
    PowerLoss(Duration),
    /// The operators put a new version of the manifest in force.
    PublishManifest,
    /// An upstream of a request service turns cold without warning.
    TurnUpstreamCold(String),
    /// An upstream restarts: it forgets what it serves and is cold.
    RestartUpstream(String),
}

/// `TimedEvent` is an event with its time from the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedEvent {
    /// Time from the start.
    pub at: Duration,
    /// What happens.
    pub action: EventAction,
}

/// `Comparison` is the direction of a bound.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// The figure may not be larger.
    #[display("<=")]
    AtMost,
    /// The figure may not be smaller.
    #[display(">=")]
    AtLeast,
}

/// `FigureBound` bounds a figure.
#[derive(Debug, Clone, PartialEq)]
pub struct FigureBound {
    /// Name of the figure.
    pub figure_name: String,
    /// Direction.
    pub comparison: Comparison,
    /// The bound.
    pub limit: f64,
}

impl FigureBound {
    /// Tells whether a value keeps the bound.
    #[must_use]
    pub fn is_kept_by(&self, value: f64) -> bool {
        match self.comparison {
            Comparison::AtMost => value <= self.limit,
            Comparison::AtLeast => value >= self.limit,
        }
    }
}

/// `Scenario` is a scenario file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scenario {
    /// What it shows.
    pub title: String,
    /// Data centres.
    pub data_centres: Vec<DataCentreSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Load of flows.
    pub flow_load: FlowLoad,
    /// Load of requests.
    pub request_load: RequestLoad,
    /// Network between hosts.
    pub network: NetworkSpec,
    /// Settings of hosts.
    pub options: ScenarioOptions,
    /// Length.
    pub duration: Duration,
    /// Time from which steady figures are taken.
    pub warm_up_duration: Duration,
    /// Events in order of time.
    pub events: Vec<TimedEvent>,
    /// Bounds.
    pub bounds: Vec<FigureBound>,
}
