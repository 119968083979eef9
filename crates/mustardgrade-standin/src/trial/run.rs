//! Stages of a trial: changes to the rules and hosts, and what is counted after each.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use derive_more::Display;
use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::rule::{DataCentreState, RuleSet, UpstreamState, parse_rules};
use mustardgrade_node::metrics::SentByteKind;

use super::addresses::LoopbackRange;
use super::errors::{Result, TrialError};
use super::report::TrialReport;
use super::setup::{RunningHost, TrialEnvironment};
use crate::caller::{FlowReport, RequestReport};

/// Time within which accepted rules must take effect; new feeds and packets that they rule out are
/// counted only after it.
const RULE_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Maximum time until all hosts are serving.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of entry hosts in each data centre.
const HOSTS_PER_DATA_CENTRE: u8 = 2;

/// `TrialOptions` are the settings of a trial.
#[derive(Debug, Clone)]
pub struct TrialOptions {
    /// Text of the rules file.
    pub rules_text: String,
    /// Placement mode of the hosts.
    pub placement_mode: PlacementMode,
    /// Number of feeds that callers keep open.
    pub feed_count: usize,
}

/// `TrialStage` is a stage of a trial; its text is shown as progress.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum TrialStage {
    /// Starts the platform, the fabric, the upstreams and the hosts.
    #[display("starting hosts")]
    StartHosts,
    /// Starts the callers, which open their feeds.
    #[display("opening feeds")]
    OpenFeeds,
    /// Sets an upstream of the flow service to draining.
    #[display("draining an upstream")]
    DrainUpstream,
    /// Stops a host gracefully after starting its replacement.
    #[display("replacing a host")]
    ReplaceHost,
    /// Takes the last data centre out of service.
    #[display("taking a data centre out")]
    TakeDataCentreOut,
    /// Takes the data centre back into service.
    #[display("taking the data centre back in")]
    TakeDataCentreIn,
    /// Waits for pending answers and collects the report.
    #[display("finishing")]
    Finish,
}

impl TrialStage {
    /// All stages, in the order in which they run.
    pub const ALL: [Self; 7] = [
        Self::StartHosts,
        Self::OpenFeeds,
        Self::DrainUpstream,
        Self::ReplaceHost,
        Self::TakeDataCentreOut,
        Self::TakeDataCentreIn,
        Self::Finish,
    ];
}

/// Runs a trial; `progress` is called with each stage as it begins.
///
/// # Errors
///
/// Fails if the trial cannot be carried out. Violated guarantees are not errors; the report counts
/// them.
pub async fn run_trial(
    options: &TrialOptions,
    progress: &dyn Fn(TrialStage),
) -> Result<TrialReport> {
    let mut rules = parse_rules(&options.rules_text)?;
    let started_at = Instant::now();
    progress(TrialStage::StartHosts);
    let addresses = LoopbackRange::reserve()?;
    addresses.move_upstreams(&mut rules)?;
    let environment = TrialEnvironment::start(addresses, options.placement_mode, &rules).await?;
    let mut trial = Trial { environment, rules, report: TrialReport::default() };
    trial.report.placement_mode = options.placement_mode.to_string();
    trial.start_hosts().await?;
    progress(TrialStage::OpenFeeds);
    let rules = trial.rules.clone();
    trial.environment.start_callers(&rules, options.feed_count)?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    progress(TrialStage::DrainUpstream);
    trial.drain_upstream().await?;
    progress(TrialStage::ReplaceHost);
    trial.replace_host().await?;
    progress(TrialStage::TakeDataCentreOut);
    trial.take_data_centre_out().await?;
    progress(TrialStage::TakeDataCentreIn);
    trial.take_data_centre_in().await?;
    progress(TrialStage::Finish);
    trial.collect_report(started_at).await;
    Ok(trial.report)
}

/// `Trial` is a running trial with the rules currently in force.
struct Trial {
    environment: TrialEnvironment,
    rules: RuleSet,
    report: TrialReport,
}

impl Trial {
    async fn start_hosts(&mut self) -> Result<()> {
        self.environment.apply_rules(&self.rules).await?;
        let names: Vec<String> =
            self.rules.data_centres.iter().map(|centre| centre.name.clone()).collect();
        for (index, centre) in names.iter().enumerate() {
            for number in 1..=HOSTS_PER_DATA_CENTRE {
                let address = Ipv4Addr::new(
                    127,
                    self.environment.addresses.second_octet(),
                    1 + index as u8,
                    number,
                );
                self.environment.start_host(&format!("{centre}-{number}"), centre, address)?;
            }
        }
        self.environment.set_fabric_hosts(|_, _| true);
        let start_deadline = Instant::now() + START_TIMEOUT;
        let host_count = self.environment.hosts.len();
        while !self.all_hosts_serve(host_count) {
            if Instant::now() > start_deadline {
                return Err(TrialError::StartTimeout(START_TIMEOUT.as_secs()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    fn all_hosts_serve(&self, host_count: usize) -> bool {
        self.environment.hosts.values().all(|running| {
            let metrics = running.host.metrics();
            running.host.status().contains("\"serving\"")
                && metrics.placement_generation.load(Ordering::Relaxed) > 0
                && metrics.live_hosts.load(Ordering::Relaxed) >= host_count as u64
        })
    }

    /// Writes the rules to the store and waits until they are in force on all hosts, for at most
    /// twice the grace period.
    async fn apply_rules(&mut self) -> Result<()> {
        let submitted_at = Instant::now();
        let revision = self.environment.apply_rules(&self.rules).await?;
        let has_revision = |running: &RunningHost| {
            running.host.metrics().rules_revision.load(Ordering::Relaxed) >= revision
        };
        while !self.environment.hosts.values().all(has_revision)
            && submitted_at.elapsed() < RULE_GRACE_PERIOD * 2
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let propagation_ms = submitted_at.elapsed().as_millis() as u64;
        self.report.slowest_rule_propagation_ms =
            self.report.slowest_rule_propagation_ms.max(propagation_ms);
        Ok(())
    }

    async fn drain_upstream(&mut self) -> Result<()> {
        let flow_service = self.flow_service_name();
        let rule = self.rules.upstreams.iter_mut().find(|rule| rule.service == flow_service);
        let rule = rule.ok_or(TrialError::MissingFromRules("an upstream of the flow service"))?;
        rule.state = UpstreamState::Draining;
        let name = rule.name.clone();
        self.apply_rules().await?;
        tokio::time::sleep(RULE_GRACE_PERIOD).await;
        let opened_before = self.feeds_opened_at(&name);
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.report.feeds_opened_on_draining += self.feeds_opened_at(&name) - opened_before;
        Ok(())
    }

    fn flow_service_name(&self) -> String {
        let flow_class = mustardgrade_core::rule::ServiceClass::Flow;
        let service = self.rules.services.iter().find(|service| service.class == flow_class);
        service.map(|service| service.name.clone()).unwrap_or_default()
    }

    fn feeds_opened_at(&self, name: &str) -> u64 {
        let upstream =
            self.environment.upstreams.iter().find(|upstream| upstream.settings().name == name);
        upstream.map_or(0, |upstream| upstream.report().connections_opened)
    }

    /// Starts a replacement of the first host and stops that host gracefully.
    async fn replace_host(&mut self) -> Result<()> {
        let Some(name) = self.environment.hosts.keys().next().cloned() else { return Ok(()) };
        let Some(old_host) = self.environment.hosts.remove(&name) else { return Ok(()) };
        let data_centre = old_host.data_centre.clone();
        let [_, second_octet, data_centre_octet, _] = old_host.address.octets();
        let address =
            Ipv4Addr::new(127, second_octet, data_centre_octet, HOSTS_PER_DATA_CENTRE + 1);
        self.environment.platform.deregister_host(&name);
        self.environment.start_host(&format!("{name}-new"), &data_centre, address)?;
        self.environment.set_fabric_hosts(|_, _| true);
        let host = old_host.host;
        let stop_result = tokio::task::spawn_blocking(move || host.stop()).await;
        self.report.stopped_gracefully = stop_result.unwrap_or(false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    async fn take_data_centre_out(&mut self) -> Result<()> {
        let Some(data_centre) = self.rules.data_centres.last_mut() else { return Ok(()) };
        data_centre.state = DataCentreState::Out;
        let name = data_centre.name.clone();
        let upstreams_taken_out: BTreeSet<String> = self
            .rules
            .upstreams
            .iter()
            .filter(|rule| rule.data_centre == name)
            .map(|rule| rule.name.clone())
            .collect();
        for callers in &self.environment.flow_callers {
            callers.set_upstreams_taken_out(upstreams_taken_out.clone());
        }
        self.apply_rules().await?;
        self.environment.set_fabric_hosts(|_, running| running.data_centre != name);
        tokio::time::sleep(RULE_GRACE_PERIOD).await;
        let packets_before = self.packets_received_in(&name);
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.report.packets_after_out = self.packets_received_in(&name) - packets_before;
        Ok(())
    }

    /// Returns the number of packets that upstreams and hosts of a data centre have received.
    fn packets_received_in(&self, data_centre: &str) -> u64 {
        let upstream_addresses: BTreeSet<Ipv4Addr> = self
            .rules
            .upstreams
            .iter()
            .filter(|rule| rule.data_centre == data_centre)
            .map(|rule| rule.address)
            .collect();
        let upstreams = self.environment.upstreams.iter();
        let upstream_packets: u64 = upstreams
            .filter(|upstream| upstream_addresses.contains(&upstream.settings().address))
            .map(|upstream| upstream.report().packets_received)
            .sum();
        let hosts = self.environment.hosts.values();
        let hosts_inside = hosts.filter(|running| running.data_centre == data_centre);
        let host_packets: u64 = hosts_inside
            .map(|running| {
                let counters = running.host.metrics().flow_counters();
                counters.packets_tunnelled + counters.hops_received
            })
            .sum();
        upstream_packets + host_packets
    }

    async fn take_data_centre_in(&mut self) -> Result<()> {
        let Some(data_centre) = self.rules.data_centres.last_mut() else { return Ok(()) };
        data_centre.state = DataCentreState::In;
        self.apply_rules().await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.environment.set_fabric_hosts(|_, _| true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    async fn collect_report(&mut self, started_at: Instant) {
        for callers in &self.environment.request_callers {
            callers.pause();
        }
        // Longer than the deadline of a request (2.5 s) plus the time for which callers wait for an
        // answer after it (1 s).
        tokio::time::sleep(Duration::from_millis(3_600)).await;
        let report = &mut self.report;
        report.flow_report =
            sum_flows(self.environment.flow_callers.iter().map(|callers| callers.report()));
        report.request_report =
            sum_requests(self.environment.request_callers.iter().map(|callers| callers.report()));
        report.duration_secs = started_at.elapsed().as_secs_f64();
        self.add_upstream_counts();
        self.add_host_counts();
        self.measure_imbalance();
    }

    fn add_upstream_counts(&mut self) {
        let mut executed_payloads: BTreeSet<Vec<u8>> = BTreeSet::new();
        for upstream in &self.environment.upstreams {
            let upstream_report = upstream.report();
            self.report.packets_to_wrong_service += upstream_report.wrong_service_packets;
            self.report.repeated_registrations += upstream_report.repeated_payloads;
            for payload in upstream_report.executed_payloads {
                // A payload that two upstreams ran counts as repeated, too.
                self.report.repeated_registrations += u64::from(!executed_payloads.insert(payload));
            }
        }
        let refused_payloads = self.report.request_report.refused_payloads.iter();
        self.report.false_refusals =
            refused_payloads.filter(|payload| executed_payloads.contains(*payload)).count() as u64;
    }

    fn add_host_counts(&mut self) {
        let mut control_bytes = 0;
        for running in self.environment.hosts.values() {
            let metrics = running.host.metrics();
            control_bytes += metrics.sent_bytes(SentByteKind::Control);
            self.report.hopped_packets += metrics.flow_counters().packets_hopped;
        }
        let host_count = self.environment.hosts.len() as f64;
        self.report.control_bytes_per_host =
            control_bytes as f64 / host_count / self.report.duration_secs;
    }

    fn measure_imbalance(&mut self) {
        let service = self.flow_service_name();
        let takes_new_feeds = |name: &str| {
            let rule = self.rules.upstreams.iter().find(|rule| rule.name == name);
            rule.is_some_and(|rule| self.rules.accepts_new_work(rule))
        };
        let feeds_by_upstream = &self.report.flow_report.by_upstream;
        let feed_counts: Vec<usize> = self
            .rules
            .upstreams_of(&service)
            .filter(|rule| takes_new_feeds(&rule.name))
            .map(|rule| feeds_by_upstream.get(&rule.name).copied().unwrap_or_default())
            .collect();
        let total_feeds: usize = feed_counts.iter().sum();
        let max_feeds = feed_counts.iter().max().copied().unwrap_or_default();
        self.report.imbalance =
            max_feeds as f64 * feed_counts.len() as f64 / total_feeds.max(1) as f64;
    }
}

fn sum_flows(reports: impl Iterator<Item = FlowReport>) -> FlowReport {
    reports.fold(FlowReport::default(), |mut sum, report| {
        sum.opened += report.opened;
        sum.open += report.open;
        sum.broken += report.broken;
        sum.given_up += report.given_up;
        sum.wrong_bytes += report.wrong_bytes;
        sum.checked_bytes += report.checked_bytes;
        for (upstream, count) in report.by_upstream {
            *sum.by_upstream.entry(upstream).or_default() += count;
        }
        for (cause, count) in report.causes {
            *sum.causes.entry(cause).or_default() += count;
        }
        sum
    })
}

fn sum_requests(reports: impl Iterator<Item = RequestReport>) -> RequestReport {
    reports.fold(RequestReport::default(), |mut sum, report| {
        sum.started += report.started;
        sum.right += report.right;
        sum.wrong += report.wrong;
        sum.not_run += report.not_run;
        sum.unknown += report.unknown;
        sum.silent += report.silent;
        sum.refused_payloads.extend(report.refused_payloads);
        sum.confirmed_payloads.extend(report.confirmed_payloads);
        sum
    })
}
