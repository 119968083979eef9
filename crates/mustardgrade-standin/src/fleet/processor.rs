//! Processor time of hosts: inputs take effect when their host has had the time to process them.
//!
//! The control thread of a host processes its inputs one after another, and its traffic thread the
//! packets. While both have work, packets take twice as long. A host has its share of a core evenly
//! in time; a scheduler that grants it in periods is not simulated.

use std::time::Duration;

use mustardgrade_core::watch::{WatchInput, WatchOutput};

use super::FleetSimulation;
use super::event::FleetEvent;
use crate::scenario::ProcessorSpec;

/// Fractional part of the golden ratio; its multiples spread evenly over 0 to 1.
const SPREAD_STEP: f64 = 0.618_033_988_749_895;

/// Number of datagrams that wait at a host at most. The receive buffer of a socket holds about as
/// many of the size of a digest by default; further ones are lost.
const MAX_WAITING_MESSAGES: f64 = 256.0;

/// `HostProcessor` is the processor of a host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HostProcessor {
    control_busy_until: Duration,
    traffic_busy_until: Duration,
}

impl FleetSimulation {
    /// Returns the processor share of a host in thousandths of a core; the logarithms of all shares
    /// are evenly spread.
    pub(super) fn processor_millicores(&self, host: usize) -> u16 {
        let Some(spec) = self.scenario.processors else { return 100 };
        let place = (host as f64 * SPREAD_STEP).fract();
        let ratio = f64::from(spec.max_millicores) / f64::from(spec.min_millicores.max(1));
        (f64::from(spec.min_millicores) * ratio.powf(place)).round() as u16
    }

    /// Returns the time that a host takes for work of this cost if it has nothing else to do.
    fn work_duration(&self, host: usize, cost: Duration) -> Duration {
        cost.mul_f64(1_000.0 / f64::from(self.processor_millicores(host).max(1)))
    }

    /// Returns the time from the start of a host's process until its controller runs.
    pub(super) fn process_start_duration(&self, host: usize) -> Duration {
        let start_cost = self.scenario.processors.map(|spec| spec.start_cost);
        self.work_duration(host, start_cost.unwrap_or_default())
    }

    /// Adds work to the control thread of a host; returns the time until it is done.
    pub(super) fn occupy_control_thread(&mut self, host: usize, cost: Duration) -> Duration {
        let duration = self.work_duration(host, cost);
        let processor = &mut self.hosts[host].processor;
        processor.control_busy_until = processor.control_busy_until.max(self.now) + duration;
        processor.control_busy_until - self.now
    }

    fn occupy_traffic_thread(&mut self, host: usize, cost: Duration) -> Duration {
        let duration = self.work_duration(host, cost);
        let now = self.now;
        let processor = &mut self.hosts[host].processor;
        let shared = processor.control_busy_until > now;
        if shared {
            processor.control_busy_until += duration;
        }
        let duration = if shared { duration * 2 } else { duration };
        processor.traffic_busy_until = processor.traffic_busy_until.max(now) + duration;
        processor.traffic_busy_until - now
    }

    /// Returns an event that takes effect now. If its host needs processor time for it, the event
    /// is scheduled for when that has been spent, or is lost.
    pub(super) fn if_processed(&mut self, event: FleetEvent) -> Option<FleetEvent> {
        let Some(spec) = self.scenario.processors else { return Some(event) };
        let (host, incarnation) = match &event {
            FleetEvent::PeerInput { host, incarnation, .. }
            | FleetEvent::StoreResponse { host, incarnation, .. }
            | FleetEvent::ControllerTick { host, incarnation }
            | FleetEvent::RouterTick { host, incarnation }
            | FleetEvent::PacketAtHost { host, incarnation, .. } => (*host, *incarnation),
            _ => return Some(event),
        };
        let delay = match &event {
            FleetEvent::PacketAtHost { .. } => self.occupy_traffic_thread(host, spec.packet_cost),
            FleetEvent::PeerInput { input, .. }
                if matches!(**input, WatchInput::Message(_))
                    && self.waiting_messages(host, spec) > MAX_WAITING_MESSAGES =>
            {
                self.measurements.lost_messages += 1;
                return None;
            }
            FleetEvent::PeerInput { input, .. } | FleetEvent::StoreResponse { input, .. } => {
                self.occupy_control_thread(host, input_cost(input, spec))
            }
            _ => self.occupy_control_thread(host, Duration::ZERO),
        };
        let event = Box::new(event);
        self.schedule_after(delay, FleetEvent::Processed { host, incarnation, event });
        None
    }

    fn waiting_messages(&self, host: usize, spec: ProcessorSpec) -> f64 {
        let busy_for = self.hosts[host].processor.control_busy_until.saturating_sub(self.now);
        let message_duration = self.work_duration(host, spec.message_cost);
        busy_for.as_secs_f64() / message_duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Adds the work of carrying out a controller's output.
    pub(super) fn spend_on_output(&mut self, host: usize, output: &WatchOutput) {
        let Some(spec) = self.scenario.processors else { return };
        let cost = match output {
            WatchOutput::Send { .. }
            | WatchOutput::RequestChanges { .. }
            | WatchOutput::CallStore(_)
            | WatchOutput::WriteRouteServices(_) => spec.message_cost,
            WatchOutput::InstallSnapshot => {
                spec.entry_cost * u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX)
            }
            WatchOutput::InstallPeerLoads(_) | WatchOutput::Event(_) => Duration::ZERO,
        };
        self.occupy_control_thread(host, cost);
    }

    /// Returns the time that a host takes to answer a request for `entry_count` entries.
    pub(super) fn spend_on_answer(&mut self, host: usize, entry_count: usize) -> Duration {
        let Some(spec) = self.scenario.processors else { return Duration::ZERO };
        let cost = spec.message_cost * 2 + spec.entry_cost * entry_count as u32;
        self.occupy_control_thread(host, cost)
    }

    /// Returns a host's processor to idle, when its process starts.
    pub(super) fn reset_processor(&mut self, host: usize) {
        self.hosts[host].processor = HostProcessor::default();
    }
}

/// Returns the processor time that a host needs to receive and apply an input.
fn input_cost(input: &WatchInput, spec: ProcessorSpec) -> Duration {
    let entry_count = match input {
        WatchInput::Changes { batch: Some(batch), .. } | WatchInput::StoreResult(Ok(batch)) => {
            batch.changes.len()
        }
        _ => 0,
    };
    spec.message_cost + spec.entry_cost * entry_count as u32
}
