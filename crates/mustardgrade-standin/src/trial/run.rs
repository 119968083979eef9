//! The course of a trial.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use derive_more::Display;
use mustardgrade_core::flow::PlacementMode;
use mustardgrade_core::rule::{DataCentreState, RuleSet, UpstreamState, parse_rules};
use mustardgrade_node::metrics::SentByteKind;

use super::errors::{Result, TrialError};
use super::report::TrialReport;
use super::setup::{RunningHost, TrialParts};
use crate::caller::{FlowReport, RequestReport};

/// Time after an accepted rule from which it must hold.
const GRACE: Duration = Duration::from_secs(3);

/// Longest wait for the hosts to serve.
const START_PATIENCE: Duration = Duration::from_secs(10);

/// Entry hosts of each data centre.
const HOSTS_PER_DATA_CENTRE: u8 = 2;

/// `TrialOptions` are the settings of a trial.
#[derive(Debug, Clone)]
pub struct TrialOptions {
    /// The rules file's text.
    pub rules: String,
    /// How flows are placed.
    pub placement: PlacementMode,
    /// Feeds that are held open.
    pub feeds: usize,
    /// Second byte of the loopback addresses of hosts and callers.
    pub network: u8,
}

/// `TrialStage` is a step of a trial.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum TrialStage {
    /// Everything starts.
    #[display("starting hosts")]
    Start,
    /// Callers open their feeds.
    #[display("opening feeds")]
    Open,
    /// An upstream drains.
    #[display("draining an upstream")]
    Drain,
    /// A host is replaced.
    #[display("replacing a host")]
    Replace,
    /// A data centre goes out.
    #[display("taking a data centre out")]
    Out,
    /// The data centre comes back.
    #[display("taking the data centre back in")]
    In,
    /// The last answers come in.
    #[display("finishing")]
    Finish,
}

impl TrialStage {
    /// All stages in order.
    pub const ALL: [Self; 7] =
        [Self::Start, Self::Open, Self::Drain, Self::Replace, Self::Out, Self::In, Self::Finish];
}

/// Runs a trial; `progress` is told each stage as it begins.
///
/// # Errors
///
/// Fails if the trial cannot be carried out. Broken promises are no error but part of the report.
pub async fn run_trial(
    options: &TrialOptions,
    progress: &dyn Fn(TrialStage),
) -> Result<TrialReport> {
    let rules = parse_rules(&options.rules)?;
    let started = Instant::now();
    progress(TrialStage::Start);
    let parts = TrialParts::start(options.network, options.placement, &rules).await?;
    let mut trial = Trial { parts, rules, report: TrialReport::default() };
    trial.report.placement = options.placement.to_string();
    trial.start_hosts().await?;
    progress(TrialStage::Open);
    let rules = trial.rules.clone();
    trial.parts.start_callers(&rules, options.feeds)?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    progress(TrialStage::Drain);
    trial.drain().await?;
    progress(TrialStage::Replace);
    trial.replace_host().await?;
    progress(TrialStage::Out);
    trial.take_out().await?;
    progress(TrialStage::In);
    trial.take_in().await?;
    progress(TrialStage::Finish);
    trial.finish(started).await;
    Ok(trial.report)
}

/// `Trial` is a trial under way.
struct Trial {
    parts: TrialParts,
    rules: RuleSet,
    report: TrialReport,
}

impl Trial {
    async fn start_hosts(&mut self) -> Result<()> {
        self.parts.apply(&self.rules).await?;
        let names: Vec<String> =
            self.rules.data_centres.iter().map(|centre| centre.name.clone()).collect();
        for (index, centre) in names.iter().enumerate() {
            for number in 1..=HOSTS_PER_DATA_CENTRE {
                let address = Ipv4Addr::new(127, self.parts.network, 1 + index as u8, number);
                self.parts.start_host(&format!("{centre}-{number}"), centre, address)?;
            }
        }
        self.parts.spray_over(|_, _| true);
        let limit = Instant::now() + START_PATIENCE;
        let expected = self.parts.hosts.len();
        while !self.all_serve(expected) {
            if Instant::now() > limit {
                return Err(TrialError::NotServing(START_PATIENCE.as_secs()));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    fn all_serve(&self, expected: usize) -> bool {
        self.parts.hosts.values().all(|running| {
            let metrics = running.host.metrics();
            running.host.status().contains("\"serving\"")
                && metrics.placement_generation.load(Ordering::Relaxed) > 0
                && metrics.live_hosts.load(Ordering::Relaxed) >= expected as u64
        })
    }

    /// Applies the rules and waits until they are in force on all hosts.
    async fn apply(&mut self) -> Result<()> {
        let accepted = Instant::now();
        let revision = self.parts.apply(&self.rules).await?;
        let in_force = |running: &RunningHost| {
            running.host.metrics().rules_revision.load(Ordering::Relaxed) >= revision
        };
        while !self.parts.hosts.values().all(in_force) && accepted.elapsed() < GRACE * 2 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let took = accepted.elapsed().as_millis() as u64;
        self.report.slowest_rule_ms = self.report.slowest_rule_ms.max(took);
        Ok(())
    }

    async fn drain(&mut self) -> Result<()> {
        let flow_service = self.flow_service();
        let rule = self.rules.upstreams.iter_mut().find(|rule| rule.service == flow_service);
        let rule = rule.ok_or(TrialError::Unsuitable("an upstream of the flow service"))?;
        rule.state = UpstreamState::Draining;
        let name = rule.name.clone();
        self.apply().await?;
        tokio::time::sleep(GRACE).await;
        let opened = self.opened_at(&name);
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.report.new_on_draining += self.opened_at(&name) - opened;
        Ok(())
    }

    fn flow_service(&self) -> String {
        let flow = mustardgrade_core::rule::ServiceClass::Flow;
        let service = self.rules.services.iter().find(|service| service.class == flow);
        service.map(|service| service.name.clone()).unwrap_or_default()
    }

    fn opened_at(&self, name: &str) -> u64 {
        let upstream =
            self.parts.upstreams.iter().find(|upstream| upstream.settings().name == name);
        upstream.map_or(0, |upstream| upstream.report().connections_opened)
    }

    /// Stops the first host gracefully and starts another one in its place.
    async fn replace_host(&mut self) -> Result<()> {
        let Some(name) = self.parts.hosts.keys().next().cloned() else { return Ok(()) };
        let Some(old) = self.parts.hosts.remove(&name) else { return Ok(()) };
        let data_centre = old.data_centre.clone();
        let [_, network, centre, _] = old.address.octets();
        let address = Ipv4Addr::new(127, network, centre, HOSTS_PER_DATA_CENTRE + 1);
        self.parts.platform.deregister_host(&name);
        self.parts.start_host(&format!("{name}-new"), &data_centre, address)?;
        self.parts.spray_over(|_, _| true);
        let host = old.host;
        let stopped = tokio::task::spawn_blocking(move || host.stop()).await;
        self.report.graceful_stop = stopped.unwrap_or(false);
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    async fn take_out(&mut self) -> Result<()> {
        let Some(centre) = self.rules.data_centres.last_mut() else { return Ok(()) };
        centre.state = DataCentreState::Out;
        let name = centre.name.clone();
        let given_up: BTreeSet<String> = self
            .rules
            .upstreams
            .iter()
            .filter(|rule| rule.data_centre == name)
            .map(|rule| rule.name.clone())
            .collect();
        for callers in &self.parts.flows {
            callers.set_upstreams_taken_out(given_up.clone());
        }
        self.apply().await?;
        self.parts.spray_over(|_, running| running.data_centre != name);
        tokio::time::sleep(GRACE).await;
        let before = self.packets_at(&name);
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.report.packets_after_out = self.packets_at(&name) - before;
        Ok(())
    }

    /// Counts the packets that upstreams and hosts of a data centre received.
    fn packets_at(&self, data_centre: &str) -> u64 {
        let inside: BTreeSet<Ipv4Addr> = self
            .rules
            .upstreams
            .iter()
            .filter(|rule| rule.data_centre == data_centre)
            .map(|rule| rule.address)
            .collect();
        let upstreams = self.parts.upstreams.iter();
        let upstream_packets: u64 = upstreams
            .filter(|upstream| inside.contains(&upstream.settings().address))
            .map(|upstream| upstream.report().packets_received)
            .sum();
        let hosts = self.parts.hosts.values();
        let hosts = hosts.filter(|running| running.data_centre == data_centre);
        let host_packets: u64 = hosts
            .map(|running| {
                let counters = running.host.metrics().flow_counters();
                counters.packets_tunnelled + counters.hops_received
            })
            .sum();
        upstream_packets + host_packets
    }

    async fn take_in(&mut self) -> Result<()> {
        let Some(centre) = self.rules.data_centres.last_mut() else { return Ok(()) };
        centre.state = DataCentreState::In;
        self.apply().await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.parts.spray_over(|_, _| true);
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    async fn finish(&mut self, started: Instant) {
        for callers in &self.parts.requests {
            callers.pause();
        }
        tokio::time::sleep(Duration::from_millis(3_600)).await;
        let report = &mut self.report;
        report.flows = sum_flows(self.parts.flows.iter().map(|callers| callers.report()));
        report.requests = sum_requests(self.parts.requests.iter().map(|callers| callers.report()));
        report.seconds = started.elapsed().as_secs_f64();
        self.count_upstreams();
        self.count_hosts();
        self.measure_imbalance();
    }

    fn count_upstreams(&mut self) {
        let mut ran: BTreeSet<Vec<u8>> = BTreeSet::new();
        for upstream in &self.parts.upstreams {
            let seen = upstream.report();
            self.report.wrong_service += seen.wrong_service_packets;
            self.report.repeated += seen.repeated_payloads;
            for payload in seen.executed_payloads {
                // A payload that two upstreams ran is repeated too.
                self.report.repeated += u64::from(!ran.insert(payload));
            }
        }
        let refused = self.report.requests.refused_payloads.iter();
        self.report.false_refusals =
            refused.filter(|payload| ran.contains(*payload)).count() as u64;
    }

    fn count_hosts(&mut self) {
        let mut control = 0;
        for running in self.parts.hosts.values() {
            let metrics = running.host.metrics();
            control += metrics.sent_bytes(SentByteKind::Control);
            self.report.hops += metrics.flow_counters().packets_hopped;
        }
        let hosts = self.parts.hosts.len() as f64;
        self.report.control_bytes_per_host = control as f64 / hosts / self.report.seconds;
    }

    fn measure_imbalance(&mut self) {
        let service = self.flow_service();
        let serving = |name: &str| {
            let rule = self.rules.upstreams.iter().find(|rule| rule.name == name);
            rule.is_some_and(|rule| self.rules.accepts_new_work(rule))
        };
        let held = &self.report.flows.by_upstream;
        let counts: Vec<usize> = self
            .rules
            .upstreams_of(&service)
            .filter(|rule| serving(&rule.name))
            .map(|rule| held.get(&rule.name).copied().unwrap_or_default())
            .collect();
        let total: usize = counts.iter().sum();
        let most = counts.iter().max().copied().unwrap_or_default();
        self.report.imbalance = most as f64 * counts.len() as f64 / total.max(1) as f64;
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
