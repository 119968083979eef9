//! Inputs and outputs of the host controllers, and the calls between hosts.

use std::net::Ipv4Addr;
use std::time::Duration;

use mustardgrade_core::flow::{AddressedUpdate, BindingUpdate};
use mustardgrade_core::identity::ServiceId;
use mustardgrade_core::membership::{ControllerInput, ControllerOutput, HostDigest, RecordKeeper};
use mustardgrade_core::placement::BucketIndex;
use mustardgrade_wire::peer::{DigestBody, FleetKey, FleetKeys, FrameSealer, PeerMessage};

use super::Simulation;
use super::event::{
    RecordDelivery, ServiceRecords, SimulationEvent, StoreRepair, TrafficThreadWork,
};

/// Time for which flow binding updates are collected before they are sent as one batch.
const UPDATE_FLUSH_DELAY: Duration = Duration::from_millis(10);

/// Encoded size of one flow record in a call.
const RECORD_BYTES: u64 = 11;

/// Size of a call without its payload: frame header, authentication tag and transport headers.
const CALL_OVERHEAD_BYTES: u64 = 120;

impl Simulation {
    /// Passes an input to the controller of a host and performs the resulting outputs.
    pub(super) fn handle_controller_input(&mut self, host: usize, input: ControllerInput) {
        let mut outputs = Vec::new();
        let now = self.now;
        self.hosts[host].controller.handle(input, now, &mut outputs);
        for output in outputs {
            self.perform_controller_output(host, output);
        }
        self.record_rules_revision(host);
    }

    pub(super) fn deliver_controller_input(
        &mut self,
        host: usize,
        run_id: u32,
        input: ControllerInput,
    ) {
        if self.is_running(host, run_id) {
            self.handle_controller_input(host, input);
        }
    }

    fn perform_controller_output(&mut self, host: usize, output: ControllerOutput) {
        match output {
            ControllerOutput::SendDigest { recipients, digest } => {
                self.send_digest(host, &recipients, &digest)
            }
            ControllerOutput::FetchConfiguration(address) => {
                self.fetch_configuration(host, address)
            }
            ControllerOutput::FetchAllExceptions(address) => {
                self.fetch_all_exceptions(host, address)
            }
            ControllerOutput::FetchBucketExceptions { keepers, service, generation, buckets } => {
                self.fetch_bucket_exceptions(host, &keepers, service, generation, buckets);
            }
            ControllerOutput::FetchRecords(addresses) => self.fetch_records(host, &addresses),
            ControllerOutput::ReadStore => self.schedule_store_read(host),
            ControllerOutput::WritePlacement(placement) => {
                if !self.hosts[host].store_write_pending {
                    self.hosts[host].store_write_pending = true;
                    let at = self.now + self.draw_one_way_store_delay();
                    let run_id = self.hosts[host].run_id;
                    self.event_queue
                        .push(at, SimulationEvent::StoreWriteReceived { host, run_id, placement });
                }
            }
            ControllerOutput::RestoreRules { rules, replaced_revision } => {
                let repair = StoreRepair::Rules { rules, replaced_revision };
                self.schedule_store_repair(host, repair);
            }
            ControllerOutput::RestorePlacement(placement) => {
                self.schedule_store_repair(host, StoreRepair::Placement(placement));
            }
            ControllerOutput::InstallSnapshot(snapshot) => {
                self.hosts[host].published_snapshot = Some(snapshot);
                self.schedule_traffic_thread(host, TrafficThreadWork::TakeSnapshot);
            }
            ControllerOutput::SetTablesConfirmedAt(at) => {
                self.hosts[host].flow_router.set_tables_confirmed_at(at)
            }
            ControllerOutput::Exit => {
                self.hosts[host].is_alive = false;
                self.hosts[host].exited_at = Some(self.now);
            }
        }
    }

    fn schedule_store_repair(&mut self, host: usize, repair: StoreRepair) {
        let at = self.now + self.draw_one_way_store_delay();
        let repair = Box::new(repair);
        self.event_queue.push(at, SimulationEvent::StoreRepairReceived { host, repair });
    }

    fn send_digest(&mut self, host: usize, recipients: &[Ipv4Addr], digest: &HostDigest) {
        let bytes = sealed_digest_bytes(digest);
        for address in recipients {
            let Some(peer) = self.host_at(*address) else { continue };
            self.hosts[host].control_bytes_sent += bytes;
            if !self.hosts_can_communicate(host, peer) {
                continue;
            }
            let run_id = self.hosts[peer].run_id;
            for delay in self.draw_delivery_delays() {
                let input = Box::new(ControllerInput::DigestReceived(*digest));
                let event = SimulationEvent::ControllerInput { host: peer, run_id, input };
                self.event_queue.push(self.now + delay, event);
            }
        }
    }

    /// Simulates a call to the host at `address`; returns that host and the round-trip time, or
    /// `None` if the call fails.
    fn simulate_call(&mut self, host: usize, address: Ipv4Addr) -> Option<(usize, Duration)> {
        let peer = self.host_at(address)?;
        let is_reachable = self.hosts[peer].is_alive
            && self.hosts[peer].paused_until.is_none()
            && self.hosts_can_communicate(host, peer);
        self.hosts[host].control_bytes_sent += CALL_OVERHEAD_BYTES;
        let delay = self.draw_one_way_call_delay() + self.draw_one_way_call_delay();
        is_reachable.then_some((peer, delay))
    }

    fn fetch_configuration(&mut self, host: usize, address: Ipv4Addr) {
        let Some((peer, delay)) = self.simulate_call(host, address) else { return };
        let configuration = self.hosts[peer].controller.peer_configuration();
        let rules = configuration.rules;
        let placement = configuration.placement.unwrap_or_default();
        let bucket_count: usize = placement.tables.iter().map(|table| table.buckets.len()).sum();
        let rules_bytes = rules.as_ref().map_or(0, |rules| rules.rule_set.upstreams.len() * 90);
        self.hosts[peer].control_bytes_sent +=
            CALL_OVERHEAD_BYTES + bucket_count as u64 * 3 + rules_bytes as u64;
        let run_id = self.hosts[host].run_id;
        let at = self.now + delay;
        let input = Box::new(ControllerInput::PeerAddressesReceived(configuration.host_addresses));
        self.event_queue.push(at, SimulationEvent::ControllerInput { host, run_id, input });
        if let Some(rules) = rules {
            let input = Box::new(ControllerInput::RulesReceived(rules));
            self.event_queue.push(at, SimulationEvent::ControllerInput { host, run_id, input });
        }
        let input = Box::new(ControllerInput::PlacementReceived(placement));
        self.event_queue.push(at, SimulationEvent::ControllerInput { host, run_id, input });
    }

    fn fetch_all_exceptions(&mut self, host: usize, address: Ipv4Addr) {
        let Some((peer, delay)) = self.simulate_call(host, address) else { return };
        let flow_router = &self.hosts[peer].flow_router;
        let services = flow_router.snapshot().services.iter().map(|route| route.service);
        let record_lists: Vec<ServiceRecords> =
            services.map(|service| (service, flow_router.exceptions_for_sync(service))).collect();
        let generation = self.hosts[peer].controller.placement().generation;
        self.reply_records(
            peer,
            host,
            delay,
            RecordDelivery::AllExceptions(address, generation, record_lists),
        );
    }

    /// Fetches the exceptions of buckets from all hosts that keep their records; the fetch fails
    /// unless each of them answers.
    fn fetch_bucket_exceptions(
        &mut self,
        host: usize,
        keepers: &[RecordKeeper],
        service: ServiceId,
        generation: u64,
        buckets: Vec<BucketIndex>,
    ) {
        let mut total_delay = Duration::ZERO;
        let mut record_lists = Vec::new();
        for keeper in keepers {
            let reachable_keeper = match keeper.host == self.hosts[host].id {
                true => Some((host, Duration::ZERO)),
                false => self.simulate_call(host, keeper.address),
            };
            let Some((peer, delay)) = reachable_keeper else { return };
            let flow_router = &self.hosts[peer].flow_router;
            let records = flow_router.bucket_exceptions(service, &buckets, generation);
            let Some(records) = records else { return };
            let list = vec![(service, records)];
            if peer != host {
                self.hosts[peer].control_bytes_sent += record_list_bytes(&list);
            }
            total_delay += delay;
            record_lists.extend(list);
        }
        let input = ControllerInput::BucketExceptionsFetched { service, generation, buckets };
        let run_id = self.hosts[host].run_id;
        let records = Box::new(RecordDelivery::BucketExceptions(record_lists, input));
        self.event_queue.push(
            self.now + total_delay,
            SimulationEvent::RecordsReceived { host, run_id, records },
        );
    }

    fn fetch_records(&mut self, host: usize, addresses: &[Ipv4Addr]) {
        let local_host = self.hosts[host].id;
        let mut collected = Vec::new();
        let mut max_delay = Duration::ZERO;
        for address in addresses {
            let Some((peer, delay)) = self.simulate_call(host, *address) else { continue };
            max_delay = max_delay.max(delay);
            let flow_router = &self.hosts[peer].flow_router;
            let services = flow_router.records().services();
            let record_lists: Vec<ServiceRecords> = services
                .into_iter()
                .map(|service| (service, flow_router.records_for_host(local_host, service)))
                .collect();
            self.hosts[peer].control_bytes_sent += record_list_bytes(&record_lists);
            collected.extend(record_lists);
        }
        let run_id = self.hosts[host].run_id;
        let records = Box::new(RecordDelivery::AllOwnedRecords(collected));
        self.event_queue
            .push(self.now + max_delay, SimulationEvent::RecordsReceived { host, run_id, records });
    }

    fn reply_records(
        &mut self,
        peer: usize,
        host: usize,
        delay: Duration,
        delivery: RecordDelivery,
    ) {
        let record_lists = match &delivery {
            RecordDelivery::OwnedRecords(record_lists)
            | RecordDelivery::AllOwnedRecords(record_lists)
            | RecordDelivery::AllExceptions(_, _, record_lists)
            | RecordDelivery::BucketExceptions(record_lists, _) => record_lists,
        };
        if peer != host {
            self.hosts[peer].control_bytes_sent += record_list_bytes(record_lists);
        }
        let run_id = self.hosts[host].run_id;
        let records = Box::new(delivery);
        self.event_queue
            .push(self.now + delay, SimulationEvent::RecordsReceived { host, run_id, records });
    }

    /// Sends flow records to hosts that have joined an owner chain.
    fn send_record_transfers(&mut self, host: usize) {
        for transfer in self.hosts[host].flow_router.take_transfers() {
            let Some(address) = self.hosts[host].flow_router.snapshot().host_address(transfer.to)
            else {
                continue;
            };
            let Some((peer, delay)) = self.simulate_call(host, address) else { continue };
            let record_lists = vec![(transfer.service, transfer.records)];
            self.hosts[host].control_bytes_sent += record_list_bytes(&record_lists);
            let run_id = self.hosts[peer].run_id;
            let records = Box::new(RecordDelivery::OwnedRecords(record_lists));
            self.event_queue.push(
                self.now + delay,
                SimulationEvent::RecordsReceived { host: peer, run_id, records },
            );
        }
    }

    pub(super) fn deliver_records(&mut self, host: usize, run_id: u32, delivery: RecordDelivery) {
        if !self.is_running(host, run_id) {
            return;
        }
        match delivery {
            RecordDelivery::OwnedRecords(record_lists) => self.merge_records(host, record_lists),
            RecordDelivery::AllOwnedRecords(record_lists) => {
                self.merge_records(host, record_lists);
                self.handle_controller_input(host, ControllerInput::RecordsFetched);
            }
            RecordDelivery::AllExceptions(peer, generation, record_lists) => {
                let input = ControllerInput::AllExceptionsFetched { peer, generation };
                let work = TrafficThreadWork::InstallExceptions(record_lists, input);
                self.schedule_traffic_thread(host, work);
            }
            RecordDelivery::BucketExceptions(record_lists, input) => {
                let work = TrafficThreadWork::InstallExceptions(record_lists, input);
                self.schedule_traffic_thread(host, work);
            }
        }
    }

    /// Has the traffic threads of a host carry out a decision of its controller, after a random lag
    /// if the scenario sets one.
    fn schedule_traffic_thread(&mut self, host: usize, work: TrafficThreadWork) {
        let run_id = self.hosts[host].run_id;
        let max_lag = self.scenario.options.max_thread_lag;
        if max_lag.is_zero() {
            return self.run_traffic_thread(host, run_id, work);
        }
        let lag = max_lag.mul_f64(rand::RngExt::random_range(&mut self.rng, 0.0..1.0));
        let event = SimulationEvent::TrafficThreadRuns { host, run_id, work: Box::new(work) };
        self.event_queue.push(self.now + lag, event);
    }

    pub(super) fn run_traffic_thread(&mut self, host: usize, run_id: u32, work: TrafficThreadWork) {
        if !self.is_running(host, run_id) {
            return;
        }
        match work {
            TrafficThreadWork::TakeSnapshot => self.take_snapshot(host),
            TrafficThreadWork::InstallExceptions(record_lists, input) => {
                self.take_snapshot(host);
                self.install_exceptions(host, record_lists);
                self.handle_controller_input(host, input);
            }
        }
    }

    /// Has a host route by the latest snapshot of its controller.
    fn take_snapshot(&mut self, host: usize) {
        let Some(snapshot) = self.hosts[host].published_snapshot.take() else { return };
        let input = ControllerInput::SnapshotInstalled {
            generation: snapshot.generation,
            rules_revision: snapshot.rules_revision,
        };
        self.hosts[host].flow_router.install(snapshot);
        self.send_record_transfers(host);
        self.handle_controller_input(host, input);
    }

    fn merge_records(&mut self, host: usize, record_lists: Vec<ServiceRecords>) {
        for (service, records) in record_lists {
            self.hosts[host].flow_router.merge_records(service, &records);
        }
    }

    fn install_exceptions(&mut self, host: usize, record_lists: Vec<ServiceRecords>) {
        for (service, records) in record_lists {
            self.hosts[host].flow_router.install_exceptions(service, &records);
        }
    }

    /// Schedules the next batch of flow binding updates of a host unless one is already scheduled.
    pub(super) fn schedule_update_flush(&mut self, host: usize) {
        if !self.hosts[host].update_flush_scheduled {
            self.hosts[host].update_flush_scheduled = true;
            let run_id = self.hosts[host].run_id;
            self.event_queue.push(
                self.now + UPDATE_FLUSH_DELAY,
                SimulationEvent::FlushUpdates { host, run_id },
            );
        }
    }

    /// Sends the queued flow binding updates of a host, one datagram per recipient.
    pub(super) fn flush_updates(&mut self, host: usize, run_id: u32) {
        self.hosts[host].update_flush_scheduled = false;
        if !self.is_running(host, run_id) {
            return;
        }
        let mut updates: Vec<AddressedUpdate> = Vec::new();
        self.hosts[host].flow_router.take_updates(&mut updates);
        updates.sort_by_key(|addressed| addressed.to);
        for group in updates.chunk_by(|first, second| first.to == second.to) {
            let Some(address) = self.hosts[host].flow_router.snapshot().host_address(group[0].to)
            else {
                continue;
            };
            let Some(peer) = self.host_at(address) else { continue };
            self.hosts[host].control_bytes_sent += 36 + group.len() as u64 * 21;
            if !self.hosts_can_communicate(host, peer) {
                continue;
            }
            let run_id = self.hosts[peer].run_id;
            let updates: Vec<BindingUpdate> =
                group.iter().map(|addressed| addressed.update).collect();
            for delay in self.draw_delivery_delays() {
                let event = SimulationEvent::UpdatesReceived {
                    host: peer,
                    run_id,
                    updates: updates.clone(),
                };
                self.event_queue.push(self.now + delay, event);
            }
        }
    }

    pub(super) fn deliver_updates(&mut self, host: usize, run_id: u32, updates: &[BindingUpdate]) {
        if !self.is_running(host, run_id) {
            return;
        }
        for update in updates {
            self.hosts[host].flow_router.apply_update(update, self.now);
        }
    }
}

/// Returns the size of a call that carries these records.
fn record_list_bytes(record_lists: &[ServiceRecords]) -> u64 {
    let records: usize = record_lists.iter().map(|(_, records)| records.len()).sum();
    CALL_OVERHEAD_BYTES + records as u64 * RECORD_BYTES
}

/// Returns the size of the sealed frame of a digest.
fn sealed_digest_bytes(digest: &HostDigest) -> u64 {
    let key = FleetKey::derive(b"the secret of a virtual fleet");
    let Ok(current) = key else { return 0 };
    let keys = FleetKeys { current, previous: None };
    let mut sealer = FrameSealer::new(digest.sender, 0, keys);
    sealer.seal(&PeerMessage::Digest(DigestBody::from(digest)), &[]).len() as u64
}
