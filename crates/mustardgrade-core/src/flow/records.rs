//! Tables that bind individual flows to upstreams: the records of guarded buckets, and the settled
//! exceptions.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use serde::{Deserialize, Serialize};

use crate::identity::ServiceId;

/// `FingerprintHasher` returns a fingerprint unchanged, because it already is a keyed hash.
#[derive(Debug, Default, Clone, Copy)]
pub struct FingerprintHasher(u64);

impl Hasher for FingerprintHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}

/// `ServiceRecords` maps the flow fingerprints of one service to upstream indexes.
pub type ServiceRecords = HashMap<u64, u16, BuildHasherDefault<FingerprintHasher>>;

/// `BindingRecord` binds one flow to an upstream of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BindingRecord {
    /// Fingerprint of the flow.
    pub fingerprint: u64,
    /// Index of the upstream in the placement table of the service.
    pub upstream: u16,
}

/// `RecordTable` holds the records of all services, up to a common limit.
#[derive(Debug)]
pub struct RecordTable {
    services: HashMap<ServiceId, ServiceRecords>,
    record_count: usize,
    capacity: usize,
}

impl RecordTable {
    /// Creates a table for at most `capacity` records.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { services: HashMap::new(), record_count: 0, capacity }
    }

    /// Returns the number of records over all services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.record_count
    }

    /// Returns whether no service has a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.record_count == 0
    }

    /// Returns the upstream index of a flow, or `None` if the flow is not recorded.
    #[must_use]
    pub fn get(&self, service: ServiceId, fingerprint: u64) -> Option<u16> {
        if self.record_count == 0 {
            return None;
        }
        self.services.get(&service)?.get(&fingerprint).copied()
    }

    /// Stores a record, replacing an earlier one of the same flow; returns `false` if the table is
    /// full.
    pub fn insert(&mut self, service: ServiceId, record: BindingRecord) -> bool {
        let records = self.services.entry(service).or_default();
        if self.record_count >= self.capacity && !records.contains_key(&record.fingerprint) {
            return false;
        }
        if records.insert(record.fingerprint, record.upstream).is_none() {
            self.record_count += 1;
        }
        true
    }

    /// Stores a record unless the flow already has one; returns `false` if the table is full.
    pub fn insert_if_absent(&mut self, service: ServiceId, record: BindingRecord) -> bool {
        match self.get(service, record.fingerprint) {
            Some(_) => true,
            None => self.insert(service, record),
        }
    }

    /// Removes the record of a flow, if there is one.
    pub fn remove(&mut self, service: ServiceId, fingerprint: u64) {
        let removed =
            self.services.get_mut(&service).and_then(|records| records.remove(&fingerprint));
        self.record_count -= usize::from(removed.is_some());
    }

    /// Removes the records of a service for which `keep` returns `false`.
    pub fn retain(&mut self, service: ServiceId, keep: impl Fn(BindingRecord) -> bool) {
        let Some(records) = self.services.get_mut(&service) else {
            return;
        };
        let old_len = records.len();
        records.retain(|fingerprint, upstream| {
            keep(BindingRecord { fingerprint: *fingerprint, upstream: *upstream })
        });
        self.record_count -= old_len - records.len();
        if records.capacity() > 4 * records.len() {
            records.shrink_to_fit();
        }
    }

    /// Returns the records of a service that `selects_record` accepts, sorted by fingerprint.
    #[must_use]
    pub fn select(
        &self,
        service: ServiceId,
        selects_record: impl Fn(BindingRecord) -> bool,
    ) -> Vec<BindingRecord> {
        let Some(records) = self.services.get(&service) else {
            return Vec::new();
        };
        let all = records.iter().map(|(fingerprint, upstream)| BindingRecord {
            fingerprint: *fingerprint,
            upstream: *upstream,
        });
        let mut selected: Vec<BindingRecord> =
            all.filter(|record| selects_record(*record)).collect();
        selected.sort_unstable();
        selected
    }

    /// Returns the services for which records have been stored, sorted by identity.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceId> {
        let mut services: Vec<ServiceId> = self.services.keys().copied().collect();
        services.sort_unstable();
        services
    }
}
