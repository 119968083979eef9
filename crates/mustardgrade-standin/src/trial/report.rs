//! The report of a trial.

use serde::Serialize;

use crate::caller::{FlowReport, RequestReport};

/// Bound on the imbalance of open feeds over serving upstreams; with a few hundred feeds chance
/// alone gives up to 1.6.
const MAX_IMBALANCE: f64 = 2.0;

/// `GuaranteeCheck` is one promise and whether it held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GuaranteeCheck {
    /// The promise.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// How often it was broken.
    #[serde(rename = "broken")]
    pub violations: u64,
}

/// `TrialReport` is what a trial found.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TrialReport {
    /// How flows were placed.
    #[serde(rename = "placement")]
    pub placement_mode: String,
    /// What the feed callers saw.
    #[serde(rename = "flows")]
    pub flow_report: FlowReport,
    /// What the request callers saw.
    #[serde(rename = "requests")]
    pub request_report: RequestReport,
    /// Most feeds on one serving upstream against the mean.
    pub imbalance: f64,
    /// Packets that reached hosts or upstreams of the data centre that was out, after the grace.
    pub packets_after_out: u64,
    /// Feeds that reached a draining upstream, after the grace.
    #[serde(rename = "new_on_draining")]
    pub feeds_opened_on_draining: u64,
    /// Packets that reached the wrong service.
    #[serde(rename = "wrong_service")]
    pub packets_to_wrong_service: u64,
    /// Registrations that ran more than once.
    #[serde(rename = "repeated")]
    pub repeated_registrations: u64,
    /// Registrations that ran although they were refused as not run.
    pub false_refusals: u64,
    /// Control bytes a second and host.
    pub control_bytes_per_host: f64,
    /// Packets handed from host to host.
    #[serde(rename = "hops")]
    pub hopped_packets: u64,
    /// Longest time until an accepted rule was in force on all hosts, in milliseconds.
    #[serde(rename = "slowest_rule_ms")]
    pub slowest_rule_propagation_ms: u64,
    /// Whether the replaced host handed everything over.
    #[serde(rename = "graceful_stop")]
    pub stopped_gracefully: bool,
    /// Length of the trial in seconds.
    #[serde(rename = "seconds")]
    pub duration_secs: f64,
}

impl TrialReport {
    /// Returns the promises with how often each was broken.
    #[must_use]
    pub fn guarantee_checks(&self) -> Vec<GuaranteeCheck> {
        let check = |guarantee, violations| GuaranteeCheck { guarantee, violations };
        vec![
            check("feeds survive planned changes", self.flow_report.broken),
            check("feeds are whole", self.flow_report.wrong_bytes),
            check("packets reach their own service", self.packets_to_wrong_service),
            check("answers are whole and the caller's own", self.request_report.wrong),
            check("every caller gets a final word", self.request_report.silent),
            check("registrations run at most once", self.repeated_registrations),
            check("'not run' is true", self.false_refusals),
            check("a draining upstream gets nothing new", self.feeds_opened_on_draining),
            check("a data centre that is out gets no packets", self.packets_after_out),
            check("every planned stop is graceful", u64::from(!self.stopped_gracefully)),
            check(
                "accepted rules are in force in 3 s",
                u64::from(self.slowest_rule_propagation_ms > 3_000),
            ),
            check("flows are spread evenly", u64::from(self.imbalance > MAX_IMBALANCE)),
        ]
    }

    /// Tells whether every promise held.
    #[must_use]
    pub fn all_guarantees_kept(&self) -> bool {
        self.guarantee_checks().iter().all(|check| check.violations == 0)
    }
}

impl std::fmt::Display for TrialReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let flows = &self.flow_report;
        let requests = &self.request_report;
        writeln!(f, "placement          {}", self.placement_mode)?;
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
        writeln!(f, "hops               {}", self.hopped_packets)?;
        writeln!(f, "slowest rule       {} ms", self.slowest_rule_propagation_ms)?;
        writeln!(f, "time               {:.1} s", self.duration_secs)?;
        for check in self.guarantee_checks() {
            let verdict = if check.violations == 0 { "kept" } else { "BROKEN" };
            writeln!(f, "{verdict:<6} {} ({})", check.guarantee, check.violations)?;
        }
        Ok(())
    }
}
