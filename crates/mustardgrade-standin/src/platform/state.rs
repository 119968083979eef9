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

/// `ListedEntry` is an entry host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEntry {
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
    life: Duration,
    renewed: Instant,
}

/// `PlatformState` is everything that the platform holds.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Index of the last change.
    pub index: u64,
    /// Keys.
    pub keys: BTreeMap<String, KeyRecord>,
    /// Entry hosts by name.
    pub hosts: BTreeMap<String, ListedEntry>,
    /// How the platform misbehaves.
    pub fault: FaultMode,
    /// Calls taken, waiting watches included.
    pub calls: u64,
    sessions: BTreeMap<String, SessionRecord>,
}

impl PlatformState {
    /// Writes a key, if `expected` is absent or the index of its last change (0: no such key).
    pub fn write(&mut self, key: &str, value: Vec<u8>, expected: Option<u64>) -> bool {
        let held = self.keys.get(key).map_or(0, |record| record.modify_index);
        if expected.is_some_and(|expected| expected != held) {
            return false;
        }
        self.index += 1;
        let session = self.keys.get(key).and_then(|record| record.session.clone());
        let record = KeyRecord { value, modify_index: self.index, session };
        self.keys.insert(key.to_owned(), record);
        true
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        self.index += 1;
        self.keys.remove(key);
    }

    /// Starts a lease of `life` and returns its name.
    pub fn create_session(&mut self, life: Duration) -> String {
        self.index += 1;
        let name = format!("session-{}", self.index);
        self.sessions.insert(name.clone(), SessionRecord { life, renewed: Instant::now() });
        name
    }

    /// Renews a lease; returns whether it still stood.
    pub fn renew_session(&mut self, name: &str) -> bool {
        self.expire_sessions();
        match self.sessions.get_mut(name) {
            Some(session) => {
                session.renewed = Instant::now();
                true
            }
            None => false,
        }
    }

    /// Ends a lease.
    pub fn end_session(&mut self, name: &str) {
        self.sessions.remove(name);
        self.release(name);
    }

    /// Writes a key and holds it under a lease, if no other lease holds it.
    pub fn acquire(&mut self, key: &str, value: Vec<u8>, session: &str) -> bool {
        self.expire_sessions();
        let held = self.keys.get(key).and_then(|record| record.session.as_deref());
        if !self.sessions.contains_key(session) || held.is_some_and(|held| held != session) {
            return false;
        }
        self.write(key, value, None);
        if let Some(record) = self.keys.get_mut(key) {
            record.session = Some(session.to_owned());
        }
        true
    }

    fn expire_sessions(&mut self) {
        let expired: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.renewed.elapsed() > session.life)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.end_session(&name);
        }
    }

    fn release(&mut self, session: &str) {
        for record in self.keys.values_mut() {
            if record.session.as_deref() == Some(session) {
                record.session = None;
                self.index += 1;
                record.modify_index = self.index;
            }
        }
    }
}
