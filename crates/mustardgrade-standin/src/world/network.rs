//! The network between hosts: delay, loss, copies and cuts of messages.

use std::collections::BTreeSet;
use std::time::Duration;

use mustardgrade_core::identity::DataCentreId;
use rand::RngExt;

use super::World;

/// Time after which TCP repeats a lost segment of a call.
const CALL_RETRANSMIT: Duration = Duration::from_millis(200);

/// `VirtualNetwork` knows which data centres are cut off.
#[derive(Debug, Default)]
pub(super) struct VirtualNetwork {
    cut: BTreeSet<DataCentreId>,
}

impl VirtualNetwork {
    pub(super) fn cut_off(&mut self, data_centre: DataCentreId) {
        self.cut.insert(data_centre);
    }

    pub(super) fn heal(&mut self, data_centre: DataCentreId) {
        self.cut.remove(&data_centre);
    }

    /// Tells whether packets pass between two data centres.
    pub(super) fn connects(&self, one: DataCentreId, other: DataCentreId) -> bool {
        one == other || !(self.cut.contains(&one) || self.cut.contains(&other))
    }

    /// Tells whether a data centre reaches the store.
    pub(super) fn reaches_store(&self, data_centre: DataCentreId) -> bool {
        !self.cut.contains(&data_centre)
    }
}

impl World {
    /// Draws the delay of one message.
    pub(super) fn draw_delay(&mut self) -> Duration {
        let network = &self.scenario.network;
        let span = network.max_delay.saturating_sub(network.min_delay);
        network.min_delay + span.mul_f64(self.random.random_range(0.0..1.0))
    }

    /// Draws the delays of a datagram's arrivals: none if it is lost, two if it is copied.
    pub(super) fn draw_arrivals(&mut self) -> Vec<Duration> {
        let network = self.scenario.network;
        if network.loss_ratio > 0.0 && self.random.random_bool(network.loss_ratio) {
            return Vec::new();
        }
        let copied =
            network.duplicate_ratio > 0.0 && self.random.random_bool(network.duplicate_ratio);
        let count = if copied { 2 } else { 1 };
        (0..count).map(|_| self.draw_delay()).collect()
    }

    /// Draws the time that a call or its reply takes; lost segments are repeated.
    pub(super) fn draw_call_delay(&mut self) -> Duration {
        let loss = self.scenario.network.loss_ratio;
        let mut delay = self.draw_delay();
        while loss > 0.0 && self.random.random_bool(loss) {
            delay += CALL_RETRANSMIT;
        }
        delay
    }

    /// Tells whether packets pass between two hosts.
    pub(super) fn hosts_connect(&self, one: usize, other: usize) -> bool {
        self.network.connects(self.hosts[one].data_centre, self.hosts[other].data_centre)
    }
}
