//! The network between hosts: delay, loss, copies and cuts of messages.

use std::collections::BTreeSet;
use std::time::Duration;

use mustardgrade_core::identity::DataCentreId;
use rand::RngExt;

use super::Simulation;

/// Time after which TCP repeats a lost segment of a call.
const TCP_RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// `VirtualNetwork` knows which data centres are cut off.
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

    /// Tells whether packets pass between two data centres.
    pub(super) fn can_communicate(&self, first: DataCentreId, second: DataCentreId) -> bool {
        first == second || !(self.isolated.contains(&first) || self.isolated.contains(&second))
    }

    /// Tells whether a data centre reaches the store.
    pub(super) fn can_reach_store(&self, data_centre: DataCentreId) -> bool {
        !self.isolated.contains(&data_centre)
    }
}

impl Simulation {
    /// Draws the delay of one message.
    pub(super) fn draw_message_delay(&mut self) -> Duration {
        let network = &self.scenario.network;
        let delay_range = network.delay_max.saturating_sub(network.delay_min);
        network.delay_min + delay_range.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Draws the delays of a datagram's arrivals: none if it is lost, two if it is copied.
    pub(super) fn draw_delivery_delays(&mut self) -> Vec<Duration> {
        let network = self.scenario.network;
        if network.loss > 0.0 && self.rng.random_bool(network.loss) {
            return Vec::new();
        }
        let is_duplicated = network.copy > 0.0 && self.rng.random_bool(network.copy);
        let copy_count = if is_duplicated { 2 } else { 1 };
        (0..copy_count).map(|_| self.draw_message_delay()).collect()
    }

    /// Draws the time that a call or its reply takes; lost segments are repeated.
    pub(super) fn draw_one_way_call_delay(&mut self) -> Duration {
        let loss = self.scenario.network.loss;
        let mut delay = self.draw_message_delay();
        while loss > 0.0 && self.rng.random_bool(loss) {
            delay += TCP_RETRANSMIT_DELAY;
        }
        delay
    }

    /// Tells whether packets pass between two hosts.
    pub(super) fn hosts_can_communicate(&self, first: usize, second: usize) -> bool {
        self.network.can_communicate(self.hosts[first].data_centre, self.hosts[second].data_centre)
    }
}
