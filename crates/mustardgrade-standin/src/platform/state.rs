//! The state of the platform stand-in.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `FaultMode` says how the platform misbehaves.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// It works.
    #[default]
    #[display("none")]
    None,
    /// It answers nothing.
    #[display("down")]
    Down,
    /// It answers after a second.
    #[display("slow")]
    Slow,
    /// Writes take effect, but their answers are lost.
    #[display("lost_answer")]
    LostAnswer,
}

/// `KeyRecord` is a stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRecord {
    /// The value.
    pub value: Vec<u8>,
    /// Index of its last change.
    pub modify_index: u64,
    /// Session that holds the key.
    pub session: Option<String>,
}

/// `CatalogueEntry` is an entry host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueEntry {
    /// Name of the host.
    pub name: String,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// `SessionRecord` is a lease.
#[derive(Debug, Clone)]
struct SessionRecord {
    ttl: Duration,
    renewed_at: Instant,
}

/// `PlatformState` is everything that the platform holds.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Index of the last change.
    pub last_index: u64,
    /// Keys.
    pub keys: BTreeMap<String, KeyRecord>,
    /// Entry hosts by name.
    pub hosts: BTreeMap<String, CatalogueEntry>,
    /// How the platform misbehaves.
    pub fault_mode: FaultMode,
    /// Calls taken, waiting watches included.
    pub call_count: u64,
    sessions: BTreeMap<String, SessionRecord>,
}

impl PlatformState {
    /// Writes a key, if `expected` is absent or the index of its last change (0: no such key).
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

    /// Removes a key.
    pub fn delete(&mut self, key: &str) {
        self.last_index += 1;
        self.keys.remove(key);
    }

    /// Starts a lease of `life` and returns its name.
    pub fn create_session(&mut self, ttl: Duration) -> String {
        self.last_index += 1;
        let id = format!("session-{}", self.last_index);
        self.sessions.insert(id.clone(), SessionRecord { ttl, renewed_at: Instant::now() });
        id
    }

    /// Renews a lease; returns whether it still stood.
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

    /// Ends a lease.
    pub fn destroy_session(&mut self, id: &str) {
        self.sessions.remove(id);
        self.release_keys(id);
    }

    /// Writes a key and holds it under a lease, if no other lease holds it.
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
