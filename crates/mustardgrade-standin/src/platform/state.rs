//! Keys, sessions and catalogue of the platform stand-in.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `FaultMode` is the fault that the platform stand-in injects into its answers.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    #[display("none")]
    None,
    /// Every call of the Consul interface fails with status 503, also a watch that is waiting.
    #[display("down")]
    Down,
    /// Every call is delayed by a second before it is carried out.
    #[display("slow")]
    Slow,
    /// Writes of keys are carried out, but answered with status 504.
    #[display("lost_answer")]
    LostAnswer,
}

/// `KeyRecord` is a key's value with its metadata.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRecord {
    /// The stored value.
    pub value: Vec<u8>,
    /// Index of the store's change that last modified the record.
    pub modify_index: u64,
    /// ID of the session that has acquired the key.
    pub session: Option<String>,
}

/// `CatalogueEntry` is an entry host in the platform's service catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueEntry {
    /// Name of the host.
    pub name: String,
    /// IP address of the host.
    pub address: Ipv4Addr,
    /// Name of the host's data centre.
    pub data_centre: String,
    /// Whether the host is shutting down gracefully.
    #[serde(default)]
    pub leaving: bool,
}

/// `SessionRecord` is a session, which expires unless it is renewed within its TTL.
#[derive(Debug, Clone)]
struct SessionRecord {
    ttl: Duration,
    renewed_at: Instant,
}

/// `PlatformCopy` is a copy of the store's keys at some moment.
#[derive(Debug, Clone, Default)]
pub struct PlatformCopy {
    last_index: u64,
    keys: BTreeMap<String, KeyRecord>,
}

/// `PlatformState` is the content of the store and the catalogue, and the injected fault.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Index of the last change. Answers carry it in the header `X-Consul-Index`, except that the
    /// answer to a read of an existing key carries the key's `modify_index`.
    pub last_index: u64,
    /// Records of the key-value store by key.
    pub keys: BTreeMap<String, KeyRecord>,
    /// Catalogue of entry hosts by name.
    pub hosts: BTreeMap<String, CatalogueEntry>,
    /// Fault that is injected into answers.
    pub fault_mode: FaultMode,
    /// Copy that was taken last.
    pub last_copy: PlatformCopy,
    /// Number of times that the store has returned to a copy.
    pub restore_count: u64,
    /// Calls received, including failed ones and watches that are still waiting.
    pub call_count: u64,
    sessions: BTreeMap<String, SessionRecord>,
}

impl PlatformState {
    /// Returns a copy of the keys, to restore later.
    #[must_use]
    pub fn copy(&self) -> PlatformCopy {
        PlatformCopy { last_index: self.last_index, keys: self.keys.clone() }
    }

    /// Returns to a copy: keys and indices are those of the copy, sessions are gone.
    pub fn restore(&mut self, copy: PlatformCopy) {
        self.last_index = copy.last_index;
        self.keys = copy.keys;
        self.sessions.clear();
        self.keys.values_mut().for_each(|record| record.session = None);
        self.restore_count += 1;
    }

    /// Writes a key and returns whether it was written.
    ///
    /// With `expected_index`, this is a compare-and-swap: the key is written only if its
    /// `modify_index` equals `expected_index`, where 0 means that the key must not exist.
    pub fn write(&mut self, key: &str, value: Vec<u8>, expected_index: Option<u64>) -> bool {
        let current_index = self.keys.get(key).map_or(0, |record| record.modify_index);
        if expected_index.is_some_and(|expected_index| expected_index != current_index) {
            return false;
        }
        self.last_index += 1;
        let session = self.keys.get(key).and_then(|record| record.session.clone());
        let record = KeyRecord { value, modify_index: self.last_index, session };
        self.keys.insert(key.to_owned(), record);
        true
    }

    /// Deletes a key, if it exists.
    pub fn delete(&mut self, key: &str) {
        self.last_index += 1;
        self.keys.remove(key);
    }

    /// Creates a session with the given TTL and returns its ID.
    pub fn create_session(&mut self, ttl: Duration) -> String {
        self.last_index += 1;
        let id = format!("session-{}-{}", self.restore_count, self.last_index);
        self.sessions.insert(id.clone(), SessionRecord { ttl, renewed_at: Instant::now() });
        id
    }

    /// Restarts the TTL of a session; returns `false` if the session does not exist or has expired.
    pub fn renew_session(&mut self, id: &str) -> bool {
        self.expire_sessions();
        match self.sessions.get_mut(id) {
            Some(session) => {
                session.renewed_at = Instant::now();
                true
            }
            None => false,
        }
    }

    /// Deletes a session and releases the keys that it holds.
    pub fn destroy_session(&mut self, id: &str) {
        self.sessions.remove(id);
        self.release_keys(id);
    }

    /// Writes a key and locks it for a session; returns whether it was written.
    ///
    /// The key is not written if the session does not exist or has expired, or if another session
    /// holds the key.
    pub fn acquire(&mut self, key: &str, value: Vec<u8>, session_id: &str) -> bool {
        self.expire_sessions();
        let holder = self.keys.get(key).and_then(|record| record.session.as_deref());
        if !self.sessions.contains_key(session_id)
            || holder.is_some_and(|holder| holder != session_id)
        {
            return false;
        }
        self.write(key, value, None);
        if let Some(record) = self.keys.get_mut(key) {
            record.session = Some(session_id.to_owned());
        }
        true
    }

    fn expire_sessions(&mut self) {
        let expired: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.renewed_at.elapsed() > session.ttl)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.destroy_session(&id);
        }
    }

    fn release_keys(&mut self, session_id: &str) {
        for record in self.keys.values_mut() {
            if record.session.as_deref() == Some(session_id) {
                record.session = None;
                self.last_index += 1;
                record.modify_index = self.last_index;
            }
        }
    }
}
