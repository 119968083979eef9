//! The platform's metadata store: range reads and watches over HTTP.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

/// Items in one page of a range read.
const ITEMS_PER_PAGE: usize = 500;

/// Time in which the store answers a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
    at: Instant,
}

#[derive(Default)]
struct State {
    history: Vec<Change>,
    revision: u64,
    stale_reads: u64,
}

/// `Store` keeps its whole history, so that replicas that lag behind can be answered from it.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// Connections with a number up to this one have gone silent.
    silent_through: AtomicU64,
    /// How far the replicas lag that answer serializable reads in turn.
    replica_lags: Vec<Duration>,
}

impl Store {
    pub fn start(
        ip: Ipv4Addr,
        replica_lags: Vec<Duration>,
        record: &Record,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
            accepted: AtomicU64::new(0),
            silent_through: AtomicU64::new(0),
            replica_lags,
        });
        let server = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                let number = server.accepted.fetch_add(1, Ordering::SeqCst) + 1;
                std::thread::spawn(move || server.serve(stream, number));
            }
        });
        Ok((store, address))
    }

    /// Writes an item; the return is the store's confirmation.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value.to_owned()))
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.history.push(Change { key: key.to_owned(), value, revision, at: Instant::now() });
        self.changed.notify_all();
        revision
    }

    /// Makes all connections that are open now go silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.silent_through.store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn is_silent(&self, number: u64) -> bool {
        number <= self.silent_through.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        loop {
            let mut request_line = String::new();
            if reader.read_line(&mut request_line).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = request_line.split(' ').nth(1).unwrap_or_default().to_owned();
            if self.is_silent(number) {
                // Bytes on a silent connection are read by nobody and answered by nobody.
                continue;
            }
            let (status, body) = self.answer(&target);
            std::thread::sleep(ANSWER_TIME);
            if self.is_silent(number) {
                continue;
            }
            self.record.line(format!("store: connection {number} GET {target} -> {status}"));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
        };
        let prefix = parameter("prefix").unwrap_or_default();
        let after = parameter("after").unwrap_or_default();
        match path {
            "/-/kv-range" => {
                let stale = parameter("serializable").is_some_and(|value| value == "1");
                ("200 OK", self.range(&prefix, &after, stale))
            }
            "/-/kv-watch" => {
                let wait_ms = parameter("waitMs").and_then(|value| value.parse().ok()).unwrap_or(0);
                ("200 OK", self.watch(&prefix, after.parse().unwrap_or(0), wait_ms))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str, stale: bool) -> String {
        let mut state = self.state.lock().unwrap();
        let mut lag = Duration::ZERO;
        if stale && !self.replica_lags.is_empty() {
            let replica = state.stale_reads as usize % self.replica_lags.len();
            lag = self.replica_lags[replica];
            state.stale_reads += 1;
        }
        let now = Instant::now();
        let seen = state.history.iter().filter(|change| now - change.at >= lag);
        let mut as_of = 0;
        let mut items: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in seen {
            as_of = change.revision;
            match change.value {
                Some(_) => items.insert(&change.key, change),
                None => items.remove(change.key.as_str()),
            };
        }
        let matching = items.values().filter(|change| {
            change.key.starts_with(prefix) && (after.is_empty() || change.key.as_str() > after)
        });
        let mut matching: Vec<String> = matching.map(|change| change_json(change)).collect();
        let has_more = matching.len() > ITEMS_PER_PAGE;
        matching.truncate(ITEMS_PER_PAGE);
        if stale {
            self.record.line(format!(
                "store: serializable page after '{after}' by a replica {} ms behind, asOf {as_of}",
                lag.as_millis()
            ));
        }
        format!("{{\"items\":[{}],\"hasMore\":{has_more},\"asOf\":{as_of}}}", matching.join(","))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let later = changes
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(change_json);
            let events: Vec<String> = later.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return format!("{{\"events\":[{}],\"asOf\":{revision}}}", events.join(","));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn change_json(change: &Change) -> String {
    let (key, revision) = (&change.key, change.revision);
    match &change.value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"createdRev\":{revision},\
             \"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let hex = (byte == b'%').then(|| tail.get(..2)).flatten();
        let decoded = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match decoded.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            None => {
                bytes.push(if byte == b'+' { b' ' } else { byte });
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
