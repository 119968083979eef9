//! The report of a trial.

use serde::Serialize;

use crate::caller::{FlowReport, RequestReport};

/// Bound on the imbalance of open feeds over serving upstreams; with a few hundred feeds chance
/// alone gives up to 1.6.
const IMBALANCE_BOUND: f64 = 2.0;

/// `PromiseCheck` is one promise and whether it held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PromiseCheck {
    /// The promise.
    pub promise: &'static str,
    /// How often it was broken.
    pub broken: u64,
}

/// `TrialReport` is what a trial found.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TrialReport {
    /// How flows were placed.
    pub placement: String,
    /// What the feed callers saw.
    pub flows: FlowReport,
    /// What the request callers saw.
    pub requests: RequestReport,
    /// Most feeds on one serving upstream against the mean.
    pub imbalance: f64,
    /// Packets that reached hosts or upstreams of the data centre that was out, after the grace.
    pub packets_after_out: u64,
    /// Feeds that reached a draining upstream, after the grace.
    pub new_on_draining: u64,
    /// Packets that reached the wrong service.
    pub wrong_service: u64,
    /// Registrations that ran more than once.
    pub repeated: u64,
    /// Registrations that ran although they were refused as not run.
    pub false_refusals: u64,
    /// Control bytes a second and host.
    pub control_bytes_per_host: f64,
    /// Packets handed from host to host.
    pub hops: u64,
    /// Longest time until an accepted rule was in force on all hosts, in milliseconds.
    pub slowest_rule_ms: u64,
    /// Whether the replaced host handed everything over.
    pub graceful_stop: bool,
    /// Length of the trial in seconds.
    pub seconds: f64,
}

impl TrialReport {
    /// Returns the promises with how often each was broken.
    #[must_use]
    pub fn promises(&self) -> Vec<PromiseCheck> {
        let check = |promise, broken| PromiseCheck { promise, broken };
        vec![
            check("feeds survive planned changes", self.flows.broken),
            check("feeds are whole", self.flows.wrong_bytes),
            check("packets reach their own service", self.wrong_service),
            check("answers are whole and the caller's own", self.requests.wrong),
            check("every caller gets a final word", self.requests.silent),
            check("registrations run at most once", self.repeated),
            check("'not run' is true", self.false_refusals),
            check("a draining upstream gets nothing new", self.new_on_draining),
            check("a data centre that is out gets no packets", self.packets_after_out),
            check("every planned stop is graceful", u64::from(!self.graceful_stop)),
            check("accepted rules are in force in 3 s", u64::from(self.slowest_rule_ms > 3_000)),
            check("flows are spread evenly", u64::from(self.imbalance > IMBALANCE_BOUND)),
        ]
    }

    /// Tells whether every promise held.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.promises().iter().all(|check| check.broken == 0)
    }
}

impl std::fmt::Display for TrialReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let flows = &self.flows;
        let requests = &self.requests;
        writeln!(f, "placement          {}", self.placement)?;
        writeln!(
            f,
            "flows              {} opened, {} open, {} broken, {} given up",
            flows.opened, flows.open, flows.broken, flows.given_up
        )?;
        writeln!(
            f,
            "requests           {} started, {} right, {} wrong, {} not run, {} unknown, {} silent",
            requests.started,
            requests.right,
            requests.wrong,
            requests.not_run,
            requests.unknown,
            requests.silent
        )?;
        writeln!(f, "imbalance          {:.2} (max/mean)", self.imbalance)?;
        writeln!(f, "after data centre  {} packets", self.packets_after_out)?;
        writeln!(f, "control            {:.0} B/s per host", self.control_bytes_per_host)?;
        writeln!(f, "hops               {}", self.hops)?;
        writeln!(f, "slowest rule       {} ms", self.slowest_rule_ms)?;
        writeln!(f, "time               {:.1} s", self.seconds)?;
        for check in self.promises() {
            let verdict = if check.broken == 0 { "kept" } else { "BROKEN" };
            writeln!(f, "{verdict:<6} {} ({})", check.promise, check.broken)?;
        }
        Ok(())
    }
}
