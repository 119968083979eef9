//! What the controllers of a world decide, carried out.

use std::net::Ipv4Addr;
use std::time::Duration;

use mustardgrade_core::flow::{AddressedUpdate, BindingUpdate};
use mustardgrade_core::identity::{HostId, ServiceId};
use mustardgrade_core::membership::{ControllerInput, ControllerOutput, HostDigest};
use mustardgrade_core::placement::BucketIndex;
use mustardgrade_wire::peer::{DigestBody, FleetKey, FleetKeys, FrameSealer, PeerMessage};

use super::World;
use super::event::{RecordDelivery, ServiceList, WorldEvent};

/// Time for which notes gather before they are sent.
const NOTE_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes of one record in a call.
const RECORD_BYTES: u64 = 11;

/// Bytes of a call without its content: frame header, seal and transport.
const CALL_BYTES: u64 = 120;

impl World {
    /// Feeds a controller and carries out what it decides.
    pub(super) fn feed(&mut self, host: usize, input: ControllerInput) {
        let mut outputs = Vec::new();
        let now = self.now;
        self.hosts[host].controller.handle(input, now, &mut outputs);
        for output in outputs {
            self.carry_out(host, output);
        }
        self.note_revision(host);
    }

    pub(super) fn deliver_control(&mut self, host: usize, run: u32, input: ControllerInput) {
        if self.is_running(host, run) {
            self.feed(host, input);
        }
    }

    fn carry_out(&mut self, host: usize, output: ControllerOutput) {
        match output {
            ControllerOutput::SendDigest { recipients, digest } => {
                self.send_digest(host, &recipients, &digest)
            }
            ControllerOutput::FetchConfiguration(address) => self.fetch_state(host, address),
            ControllerOutput::FetchAllExceptions(address) => self.fetch_exceptions(host, address),
            ControllerOutput::FetchBucketExceptions {
                owner,
                address,
                service,
                generation,
                buckets,
            } => {
                self.fetch_settled(host, owner, address, service, generation, buckets);
            }
            ControllerOutput::FetchRecords(addresses) => self.fetch_records(host, &addresses),
            ControllerOutput::ReadStore => self.schedule_store_read(host),
            ControllerOutput::WritePlacement(book) => {
                if !self.hosts[host].writing {
                    self.hosts[host].writing = true;
                    let at = self.now + self.draw_store_delay();
                    let run = self.hosts[host].run;
                    self.queue.push(at, WorldEvent::StoreWrite { host, run, book });
                }
            }
            ControllerOutput::InstallSnapshot(snapshot) => {
                self.hosts[host].router.install(snapshot);
                self.send_transfers(host);
            }
            ControllerOutput::SetTablesCurrentAt(at) => {
                self.hosts[host].router.set_tables_confirmed_at(at)
            }
            ControllerOutput::Exit => {
                self.hosts[host].alive = false;
                self.hosts[host].died_at = Some(self.now);
            }
        }
    }

    fn send_digest(&mut self, host: usize, to: &[Ipv4Addr], digest: &HostDigest) {
        let bytes = digest_bytes(digest);
        for address in to {
            let Some(peer) = self.host_at(*address) else { continue };
            self.hosts[host].control_bytes += bytes;
            if !self.hosts_connect(host, peer) {
                continue;
            }
            let run = self.hosts[peer].run;
            for delay in self.draw_arrivals() {
                let input = Box::new(ControllerInput::DigestReceived(*digest));
                let event = WorldEvent::Control { host: peer, run, input };
                self.queue.push(self.now + delay, event);
            }
        }
    }

    /// Returns the host that a call reaches, and how long the call and its reply take.
    fn call(&mut self, host: usize, address: Ipv4Addr) -> Option<(usize, Duration)> {
        let peer = self.host_at(address)?;
        let reachable = self.hosts[peer].alive
            && self.hosts[peer].paused_until.is_none()
            && self.hosts_connect(host, peer);
        self.hosts[host].control_bytes += CALL_BYTES;
        let delay = self.draw_call_delay() + self.draw_call_delay();
        reachable.then_some((peer, delay))
    }

    fn fetch_state(&mut self, host: usize, address: Ipv4Addr) {
        let Some((peer, delay)) = self.call(host, address) else { return };
        let fetched = self.hosts[peer].controller.peer_configuration();
        let rules = fetched.rules;
        let placement = fetched.placement.unwrap_or_default();
        let slots: usize = placement.tables.iter().map(|table| table.buckets.len()).sum();
        let text = rules.as_ref().map_or(0, |rules| rules.rule_set.upstreams.len() * 90);
        self.hosts[peer].control_bytes += CALL_BYTES + slots as u64 * 3 + text as u64;
        let run = self.hosts[host].run;
        let at = self.now + delay;
        let input = Box::new(ControllerInput::PeerAddressesReceived(fetched.host_addresses));
        self.queue.push(at, WorldEvent::Control { host, run, input });
        if let Some(rules) = rules {
            let input = Box::new(ControllerInput::RulesReceived(rules));
            self.queue.push(at, WorldEvent::Control { host, run, input });
        }
        let input = Box::new(ControllerInput::PlacementReceived(placement));
        self.queue.push(at, WorldEvent::Control { host, run, input });
    }

    fn fetch_exceptions(&mut self, host: usize, address: Ipv4Addr) {
        let Some((peer, delay)) = self.call(host, address) else { return };
        let router = &self.hosts[peer].router;
        let services = router.snapshot().services.iter().map(|route| route.service);
        let lists: Vec<ServiceList> =
            services.map(|service| (service, router.exceptions_for_sync(service))).collect();
        let generation = self.hosts[peer].controller.placement().generation;
        self.reply_records(
            peer,
            host,
            delay,
            RecordDelivery::Exceptions(address, generation, lists),
        );
    }

    fn fetch_settled(
        &mut self,
        host: usize,
        owner: HostId,
        address: Ipv4Addr,
        service: ServiceId,
        generation: u64,
        buckets: Vec<BucketIndex>,
    ) {
        let answer = match owner == self.hosts[host].id {
            true => Some((host, Duration::ZERO)),
            false => self.call(host, address),
        };
        let Some((peer, delay)) = answer else { return };
        let seen = self.hosts[peer].router.snapshot().generation;
        if seen < generation {
            return;
        }
        let wanted: std::collections::BTreeSet<BucketIndex> = buckets.iter().copied().collect();
        let records =
            self.hosts[peer].router.deviating_records(service, &|bucket| wanted.contains(&bucket));
        let told = ControllerInput::BucketExceptionsFetched { service, generation: seen, buckets };
        let delivery = RecordDelivery::Settled(vec![(service, records)], told);
        self.reply_records(peer, host, delay, delivery);
    }

    fn fetch_records(&mut self, host: usize, addresses: &[Ipv4Addr]) {
        let me = self.hosts[host].id;
        let mut gathered = Vec::new();
        let mut longest = Duration::ZERO;
        for address in addresses {
            let Some((peer, delay)) = self.call(host, *address) else { continue };
            longest = longest.max(delay);
            let router = &self.hosts[peer].router;
            let services = router.records().services();
            let lists: Vec<ServiceList> = services
                .into_iter()
                .map(|service| (service, router.records_for_host(me, service)))
                .collect();
            self.hosts[peer].control_bytes += list_bytes(&lists);
            gathered.extend(lists);
        }
        let run = self.hosts[host].run;
        let records = Box::new(RecordDelivery::MergeLast(gathered));
        self.queue.push(self.now + longest, WorldEvent::Records { host, run, records });
    }

    fn reply_records(
        &mut self,
        peer: usize,
        host: usize,
        delay: Duration,
        delivery: RecordDelivery,
    ) {
        let lists = match &delivery {
            RecordDelivery::Merge(lists)
            | RecordDelivery::MergeLast(lists)
            | RecordDelivery::Exceptions(_, _, lists)
            | RecordDelivery::Settled(lists, _) => lists,
        };
        if peer != host {
            self.hosts[peer].control_bytes += list_bytes(lists);
        }
        let run = self.hosts[host].run;
        let records = Box::new(delivery);
        self.queue.push(self.now + delay, WorldEvent::Records { host, run, records });
    }

    /// Sends the records that newcomers of a chain need.
    fn send_transfers(&mut self, host: usize) {
        for transfer in self.hosts[host].router.take_transfers() {
            let Some(address) = self.hosts[host].router.snapshot().host_address(transfer.to) else {
                continue;
            };
            let Some((peer, delay)) = self.call(host, address) else { continue };
            let lists = vec![(transfer.service, transfer.records)];
            self.hosts[host].control_bytes += list_bytes(&lists);
            let run = self.hosts[peer].run;
            let records = Box::new(RecordDelivery::Merge(lists));
            self.queue.push(self.now + delay, WorldEvent::Records { host: peer, run, records });
        }
    }

    pub(super) fn deliver_records(&mut self, host: usize, run: u32, delivery: RecordDelivery) {
        if !self.is_running(host, run) {
            return;
        }
        match delivery {
            RecordDelivery::Merge(lists) => self.merge_records(host, lists),
            RecordDelivery::MergeLast(lists) => {
                self.merge_records(host, lists);
                self.feed(host, ControllerInput::RecordsFetched);
            }
            RecordDelivery::Exceptions(from, generation, lists) => {
                self.install_exceptions(host, lists);
                self.feed(host, ControllerInput::AllExceptionsFetched { peer: from, generation });
            }
            RecordDelivery::Settled(lists, told) => {
                self.install_exceptions(host, lists);
                self.feed(host, told);
            }
        }
    }

    fn merge_records(&mut self, host: usize, lists: Vec<ServiceList>) {
        for (service, records) in lists {
            self.hosts[host].router.merge_records(service, &records);
        }
    }

    fn install_exceptions(&mut self, host: usize, lists: Vec<ServiceList>) {
        for (service, records) in lists {
            self.hosts[host].router.install_exceptions(service, &records);
        }
    }

    /// Makes sure that the notes of a host are sent soon.
    pub(super) fn schedule_notes(&mut self, host: usize) {
        if !self.hosts[host].flush_due {
            self.hosts[host].flush_due = true;
            let run = self.hosts[host].run;
            self.queue.push(self.now + NOTE_INTERVAL, WorldEvent::FlushNotes { host, run });
        }
    }

    pub(super) fn flush_notes(&mut self, host: usize, run: u32) {
        self.hosts[host].flush_due = false;
        if !self.is_running(host, run) {
            return;
        }
        let mut notes: Vec<AddressedUpdate> = Vec::new();
        self.hosts[host].router.take_updates(&mut notes);
        notes.sort_by_key(|note| note.to);
        for group in notes.chunk_by(|one, other| one.to == other.to) {
            let Some(address) = self.hosts[host].router.snapshot().host_address(group[0].to) else {
                continue;
            };
            let Some(peer) = self.host_at(address) else { continue };
            self.hosts[host].control_bytes += 36 + group.len() as u64 * 21;
            if !self.hosts_connect(host, peer) {
                continue;
            }
            let run = self.hosts[peer].run;
            let notes: Vec<BindingUpdate> = group.iter().map(|note| note.update).collect();
            for delay in self.draw_arrivals() {
                let event = WorldEvent::Notes { host: peer, run, notes: notes.clone() };
                self.queue.push(self.now + delay, event);
            }
        }
    }

    pub(super) fn deliver_notes(&mut self, host: usize, run: u32, notes: &[BindingUpdate]) {
        if !self.is_running(host, run) {
            return;
        }
        for note in notes {
            self.hosts[host].router.apply_update(note, self.now);
        }
    }
}

fn list_bytes(lists: &[ServiceList]) -> u64 {
    let records: usize = lists.iter().map(|(_, records)| records.len()).sum();
    CALL_BYTES + records as u64 * RECORD_BYTES
}

/// Returns the length of a digest's sealed frame.
fn digest_bytes(digest: &HostDigest) -> u64 {
    let key = FleetKey::derive(b"the secret of a virtual fleet");
    let Ok(current) = key else { return 0 };
    let keys = FleetKeys { current, previous: None };
    let mut sealer = FrameSealer::new(digest.sender, 0, keys);
    sealer.seal(&PeerMessage::Digest(DigestBody::from(digest)), &[]).len() as u64
}
