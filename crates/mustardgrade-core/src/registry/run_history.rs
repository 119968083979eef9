//! The recent runs of each upstream, and the positions between which each run has written.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::position::StorePosition;
use super::table::{RegistryChange, RegistryKey, RegistryTable, RegistryValue};
use super::upstream::UpstreamRegistration;

/// Time for which a former run is remembered; flows live no longer than this.
pub(super) const RUN_RETENTION: Duration = Duration::from_secs(75);

/// `RunWrite` is a write of a registration with the earliest position that it may have had.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunWrite<'a> {
    pub(super) registration: &'a Arc<UpstreamRegistration>,
    /// Position of the write, the last one of its run so far.
    pub(super) position: StorePosition,
    /// Earliest position of the first write of the run, if this host knows of none before.
    pub(super) earliest: StorePosition,
    /// Whether the write may come from the older copy that the store was restored from.
    pub(super) may_be_of_copy: bool,
    /// When any host first learned of the write.
    pub(super) learned_at: Duration,
}

/// `UpstreamRun` is one run of an upstream, as far as this host has learned of its writes.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamRun {
    /// The latest registration that the run has written.
    pub registration: Arc<UpstreamRegistration>,
    /// Position that is not later than the first registration of the run.
    pub first_written: StorePosition,
    /// Position that is not earlier than the last registration of the run.
    pub last_written: StorePosition,
    /// When any host first learned of the run.
    pub learned_at: Duration,
    /// Whether the first known registration of the run has accepted flows.
    pub began_ready: bool,
    /// Whether the run has registered several addresses.
    pub has_moved: bool,
    /// When the run ceased to be the registered one.
    former_since: Option<Duration>,
}

impl UpstreamRun {
    fn new(write: &RunWrite<'_>) -> Self {
        Self {
            registration: Arc::clone(write.registration),
            first_written: write.earliest,
            last_written: write.position,
            learned_at: write.learned_at,
            began_ready: write.registration.accepts_flows(),
            has_moved: false,
            former_since: None,
        }
    }

    fn is_run_of(&self, registration: &UpstreamRegistration) -> bool {
        let own = &self.registration;
        own.tag == registration.tag && own.incarnation == registration.incarnation
    }

    fn add(&mut self, write: &RunWrite<'_>) {
        // What a copy holds was written before the store was restored.
        if !write.may_be_of_copy {
            self.last_written = self.last_written.max(write.position);
        }
        self.has_moved |= self.registration.address != write.registration.address;
        self.registration = Arc::clone(write.registration);
        self.former_since = None;
    }
}

/// `RunHistory` holds the runs of the last [`RUN_RETENTION`], by the name of the upstream.
///
/// An upstream has as many as it has registered within that time, which changes of the registry
/// bound; there is usually one.
#[derive(Debug, Clone, Default)]
pub(super) struct RunHistory {
    runs: HashMap<String, Vec<UpstreamRun>>,
}

impl RunHistory {
    /// Records a registration, which makes its run the registered one.
    pub(super) fn record_write(&mut self, name: &str, write: &RunWrite<'_>, now: Duration) {
        self.record_end(name, now);
        let runs = self.runs.entry(name.to_owned()).or_default();
        match runs.iter_mut().find(|run| run.is_run_of(write.registration)) {
            Some(run) => run.add(write),
            None => runs.push(UpstreamRun::new(write)),
        }
    }

    /// Records that no run of the upstream is registered any more.
    pub(super) fn record_end(&mut self, name: &str, now: Duration) {
        for run in self.runs.get_mut(name).into_iter().flatten() {
            run.former_since = run.former_since.or(Some(now));
        }
    }

    /// Records that runs of the upstream may have written until `position` without notice.
    pub(super) fn record_hidden_writes(&mut self, name: &str, position: StorePosition) {
        for run in self.runs.get_mut(name).into_iter().flatten() {
            run.last_written = run.last_written.max(position);
        }
    }

    /// Returns the known runs of an upstream.
    pub(super) fn runs(&self, name: &str) -> &[UpstreamRun] {
        self.runs.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the run that has written a registration, if the upstream has only ever used one
    /// address.
    pub(super) fn run_at_one_address(
        &self,
        registration: &UpstreamRegistration,
    ) -> Option<&UpstreamRun> {
        let runs = self.runs(&registration.name);
        let has_one_address = runs
            .iter()
            .all(|run| !run.has_moved && run.registration.address == registration.address);
        runs.iter().find(|run| has_one_address && run.is_run_of(registration))
    }

    /// Forgets the former runs on which no live flow can depend any more.
    pub(super) fn purge(&mut self, now: Duration) {
        let is_expired =
            |run: &UpstreamRun| run.former_since.is_some_and(|at| now > at + RUN_RETENTION);
        self.runs.retain(|_, runs| {
            runs.retain(|run| !is_expired(run));
            !runs.is_empty()
        });
    }
}

impl RegistryTable {
    /// Returns the runs of an upstream within the last 75 s, the registered one included.
    #[must_use]
    pub fn recent_runs(&self, name: &str) -> &[UpstreamRun] {
        self.run_history.runs(name)
    }

    /// Returns the run of a registration if its upstream has used only one address lately.
    pub(super) fn run_at_one_address(
        &self,
        registration: &UpstreamRegistration,
    ) -> Option<&UpstreamRun> {
        self.run_history.run_at_one_address(registration)
    }

    /// Announces that the changes up to the next position marked as complete lack the writes that
    /// were followed by another one of the same entry.
    pub fn begin_condensed_batch(&mut self) {
        self.is_batch_condensed = true;
    }

    /// Records which run a change of an upstream's entry begins, continues or ends.
    pub(super) fn record_run(&mut self, change: &RegistryChange, now: Duration) {
        let RegistryKey::Upstream(name) = &change.key else { return };
        let written = match &change.value {
            RegistryValue::Upstream(registration) => Some(registration),
            _ => None,
        };
        let is_named =
            |registration: &&Arc<UpstreamRegistration>| self.names_service(registration.service);
        let Some(registration) = written.filter(is_named) else {
            if self.is_batch_condensed {
                self.run_history.record_hidden_writes(name, change.position);
            }
            return self.run_history.record_end(name, now);
        };
        let may_be_of_copy = self.may_be_of_copy(change.position);
        let known_through = self.complete_position;
        let earliest = match (may_be_of_copy, self.is_batch_condensed) {
            _ if change.position <= known_through => StorePosition::ORIGIN,
            (true, _) => StorePosition::ORIGIN,
            // A hidden first write is later than all changes known before.
            (false, true) => {
                StorePosition { revision: known_through.revision + 1, ..known_through }
            }
            (false, false) => change.position,
        };
        let write = RunWrite {
            registration,
            position: change.position,
            earliest,
            may_be_of_copy,
            learned_at: now.saturating_sub(change.age),
        };
        self.run_history.record_write(name, &write, now);
    }
}
