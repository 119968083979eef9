//! Simulated network: message delay, loss and duplication, and the isolation of data centres.

use std::collections::BTreeSet;
use std::time::Duration;

use mustardgrade_core::identity::DataCentreId;
use rand::RngExt;

use super::Simulation;

/// Time after which TCP retransmits a lost segment of a call.
const TCP_RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// `SimulatedNetwork` is the set of data centres that are isolated from all others and the store.
#[derive(Debug, Default)]
pub(super) struct SimulatedNetwork {
    isolated: BTreeSet<DataCentreId>,
}

impl SimulatedNetwork {
    pub(super) fn isolate(&mut self, data_centre: DataCentreId) {
        self.isolated.insert(data_centre);
    }

    pub(super) fn reconnect(&mut self, data_centre: DataCentreId) {
        self.isolated.remove(&data_centre);
    }

    /// Returns whether packets can pass between two data centres.
    pub(super) fn can_communicate(&self, first: DataCentreId, second: DataCentreId) -> bool {
        first == second || !(self.isolated.contains(&first) || self.isolated.contains(&second))
    }

    /// Returns whether the store can be reached from a data centre.
    pub(super) fn can_reach_store(&self, data_centre: DataCentreId) -> bool {
        !self.isolated.contains(&data_centre)
    }
}

impl Simulation {
    /// Draws the one-way delay of a message.
    pub(super) fn draw_message_delay(&mut self) -> Duration {
        let network = &self.scenario.network;
        let delay_range = network.max_delay.saturating_sub(network.min_delay);
        network.min_delay + delay_range.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Draws the delay of each delivery of a datagram: none if it is lost, two if it is duplicated.
    pub(super) fn draw_delivery_delays(&mut self) -> Vec<Duration> {
        let network = self.scenario.network;
        if network.loss_ratio > 0.0 && self.rng.random_bool(network.loss_ratio) {
            return Vec::new();
        }
        let is_duplicated =
            network.duplicate_ratio > 0.0 && self.rng.random_bool(network.duplicate_ratio);
        let copy_count = if is_duplicated { 2 } else { 1 };
        (0..copy_count).map(|_| self.draw_message_delay()).collect()
    }

    /// Draws the one-way delay of a call or its reply, including retransmissions of lost segments.
    pub(super) fn draw_one_way_call_delay(&mut self) -> Duration {
        let loss = self.scenario.network.loss_ratio;
        let mut delay = self.draw_message_delay();
        while loss > 0.0 && self.rng.random_bool(loss) {
            delay += TCP_RETRANSMIT_DELAY;
        }
        delay
    }

    /// Returns whether packets can pass between two hosts.
    pub(super) fn hosts_can_communicate(&self, first: usize, second: usize) -> bool {
        self.network.can_communicate(self.hosts[first].data_centre, self.hosts[second].data_centre)
    }
}
