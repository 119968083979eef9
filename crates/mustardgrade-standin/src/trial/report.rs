//! Report of a trial, and the guarantees that it checks.

use serde::Serialize;

use crate::caller::{FlowReport, RequestReport};

/// Maximum ratio of the feeds on the busiest serving upstream to the mean. With a few hundred
/// feeds, random variation alone gives up to 1.6.
const MAX_IMBALANCE: f64 = 2.0;

/// `GuaranteeCheck` is the outcome of checking one guarantee of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct GuaranteeCheck {
    /// The guarantee as text.
    #[serde(rename = "promise")]
    pub guarantee: &'static str,
    /// Number of violations, 0 if the guarantee was kept.
    #[serde(rename = "broken")]
    pub violations: u64,
}

/// `TrialReport` holds the counts and measurements of a trial.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TrialReport {
    /// Placement mode of the hosts.
    #[serde(rename = "placement")]
    pub placement_mode: String,
    /// Counts of the flow callers.
    #[serde(rename = "flows")]
    pub flow_report: FlowReport,
    /// Counts of the request callers.
    #[serde(rename = "requests")]
    pub request_report: RequestReport,
    /// Ratio of the feeds on the busiest serving upstream to the mean, at the end.
    pub imbalance: f64,
    /// Packets that reached hosts or upstreams of the data centre that was out of service, after
    /// the grace period.
    pub packets_after_out: u64,
    /// Feeds opened on the draining upstream after the grace period.
    #[serde(rename = "new_on_draining")]
    pub feeds_opened_on_draining: u64,
    /// Packets that reached the wrong service.
    #[serde(rename = "wrong_service")]
    pub packets_to_wrong_service: u64,
    /// Registrations that ran more than once.
    #[serde(rename = "repeated")]
    pub repeated_registrations: u64,
    /// Registrations that ran although their callers were told that they had not.
    pub false_refusals: u64,
    /// Mean rate of control traffic sent, in bytes per second per host.
    pub control_bytes_per_host: f64,
    /// Packets that a host forwarded to another host.
    #[serde(rename = "hops")]
    pub hopped_packets: u64,
    /// Longest time from submitting rules until they were in force on all hosts, in milliseconds.
    #[serde(rename = "slowest_rule_ms")]
    pub slowest_rule_propagation_ms: u64,
    /// Whether the replaced host stopped gracefully: it completed its handover and its open
    /// requests before the stop timeout.
    #[serde(rename = "graceful_stop")]
    pub stopped_gracefully: bool,
    /// Duration of the trial, in seconds.
    #[serde(rename = "seconds")]
    pub duration_secs: f64,
}

impl TrialReport {
    /// Returns the guarantees with the number of violations of each.
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

    /// Returns whether no guarantee was violated.
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
