//! Proofs from the registry that a run of an upstream has ended.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::position::StorePosition;
use super::run_history::UpstreamRun;
use super::table::{RegistryEntry, RegistryKey, RegistryTable, RegistryValue};
use super::upstream::UpstreamRegistration;

/// `EndedRun` is a run of a removed upstream, and the registration at its address that proves that
/// the run has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedRun {
    /// Last registration of the ended run.
    pub registration: Arc<UpstreamRegistration>,
    /// Registration of the upstream that has its address now.
    pub successor: Arc<UpstreamRegistration>,
    /// Position at or after which the successor first registered.
    pub position: StorePosition,
    /// When any host first learned of the successor.
    pub successor_learned_at: Duration,
}

/// `PresentRegistration` is a registration that is in force.
#[derive(Debug, Clone, Copy)]
struct PresentRegistration<'a> {
    key: &'a RegistryKey,
    entry: &'a RegistryEntry,
    registration: &'a Arc<UpstreamRegistration>,
}

impl RegistryTable {
    /// Returns the runs that have provably ended, since another upstream has registered at their
    /// address later.
    ///
    /// The order of the writes is that of the store. Clocks of upstreams can only prevent a proof.
    #[must_use]
    pub fn ended_runs(&self) -> Vec<EndedRun> {
        let mut removed = self.entries().filter_map(removed_registration).peekable();
        if removed.peek().is_none() {
            return Vec::new();
        }
        let mut by_address: HashMap<SocketAddrV4, Vec<PresentRegistration<'_>>> = HashMap::new();
        let present = |(key, entry)| self.present_registration(key, entry);
        for present in self.entries().filter_map(present) {
            by_address.entry(present.registration.address).or_default().push(present);
        }
        let to_ended_run = |(key, registration): (&RegistryKey, &Arc<UpstreamRegistration>)| {
            // Of two upstreams at one address, at least one has registered a wrong address.
            let [present] = by_address.get(&registration.address)?.as_slice() else { return None };
            self.ended_run(key, registration, present)
        };
        removed.filter_map(to_ended_run).collect()
    }

    fn present_registration<'a>(
        &self,
        key: &'a RegistryKey,
        entry: &'a RegistryEntry,
    ) -> Option<PresentRegistration<'a>> {
        let registration = self.registration(entry)?;
        Some(PresentRegistration { key, entry, registration })
    }

    fn ended_run(
        &self,
        key: &RegistryKey,
        registration: &Arc<UpstreamRegistration>,
        present: &PresentRegistration<'_>,
    ) -> Option<EndedRun> {
        if self.has_deferred_change(key) || self.has_deferred_change(present.key) {
            return None;
        }
        let ended = self.run_at_one_address(registration)?;
        let successor = self.run_at_one_address(present.registration)?;
        let is_proof = is_other_and_younger(registration, present.registration)
            && self.is_written_anew(present.entry.position, successor)
            && follows(successor, ended);
        is_proof.then(|| EndedRun {
            registration: Arc::clone(registration),
            successor: Arc::clone(present.registration),
            position: successor.first_written,
            successor_learned_at: successor.learned_at,
        })
    }

    /// Returns whether neither the registration in force nor the first one of its run may come from
    /// the older copy that the store was restored from.
    fn is_written_anew(&self, position: StorePosition, run: &UpstreamRun) -> bool {
        run.began_ready
            && run.first_written.epoch == position.epoch
            && run.first_written.epoch == self.position().epoch
            && !self.may_be_of_copy(run.first_written)
            && !self.may_be_of_copy(position)
    }
}

/// Returns whether the first registration of a run is later in the store's history than the last
/// one of another.
fn follows(run: &UpstreamRun, earlier: &UpstreamRun) -> bool {
    run.first_written.epoch == earlier.last_written.epoch
        && run.first_written > earlier.last_written
}

/// Returns whether a registration is of another upstream that started later, by their clocks.
///
/// An upstream accepts the packets that name its tag, so one with the same tag resets the flows of
/// the other itself.
fn is_other_and_younger(ended: &UpstreamRegistration, other: &UpstreamRegistration) -> bool {
    other.name != ended.name && other.tag != ended.tag && other.incarnation > ended.incarnation
}

/// Returns the last registration of an upstream whose entry was removed, unless the removal may be
/// an effect of a store outage: such an upstream registers again.
fn removed_registration<'a>(
    (key, entry): (&'a RegistryKey, &'a RegistryEntry),
) -> Option<(&'a RegistryKey, &'a Arc<UpstreamRegistration>)> {
    match &entry.value {
        RegistryValue::Removed { possibly_spurious: false } => {
            Some((key, entry.previous_registration.as_ref()?))
        }
        _ => None,
    }
}
