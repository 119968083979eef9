//! The platform's metadata store, as PROTOCOL.md gives it, in memory.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
}

/// The store; the operator and the endpoints write to it directly, the hosts over HTTP.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// While set, the store answers nothing.
    pub down: Arc<AtomicBool>,
    /// Connections opened before this count of silences have gone silent for good.
    silences: Arc<AtomicU64>,
    /// Number of conditional writes that were done.
    pub writes: Arc<AtomicU64>,
    /// When the last watch began.
    pub watch_began: Arc<Mutex<Option<Instant>>>,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let content: Arc<(Mutex<Content>, Condvar)> = Arc::default();
        let store = Self {
            address,
            down: Arc::default(),
            silences: Arc::default(),
            writes: Arc::default(),
            watch_began: Arc::default(),
            content,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || {
                    let _closed = served.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Lets all connections that are open now go silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Writes a key; returns the revision, which confirms it.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut content = self.content.0.lock().unwrap();
        let revision = put_item(&mut content, key, value);
        self.content.1.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) -> u64 {
        let mut content = self.content.0.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content.history.push((revision, key.to_owned(), None));
        self.content.1.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let opened_after = self.silences.load(Ordering::SeqCst);
        let is_silent = || self.silences.load(Ordering::SeqCst) > opened_after;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut parts = line.split_whitespace();
            let (method, target) = (
                parts.next().unwrap_or_default().to_owned(),
                parts.next().unwrap_or_default().to_owned(),
            );
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 {
                    return Ok(());
                }
                let header = header.trim();
                if header.is_empty() {
                    break;
                }
                let (name, value) = header.split_once(':').unwrap_or((header, ""));
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            while is_silent() {
                std::thread::sleep(Duration::from_secs(1));
            }
            while self.down.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(20));
                if !self.down.load(Ordering::Relaxed) {
                    return Ok(());
                }
            }
            // An answer of the store takes 4 ms.
            std::thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.answer(&method, &target, &body);
            while is_silent() {
                std::thread::sleep(Duration::from_secs(1));
            }
            if self.down.load(Ordering::Relaxed) {
                // A connection on which a response is lost returns nothing further.
                while self.down.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return Ok(());
            }
            let head = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(answer.as_bytes())?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| unescape(value))
        };
        let prefix = field("prefix").unwrap_or_default();
        match (method, path) {
            ("GET", "/-/kv-range") => {
                (200, self.range(&prefix, &field("after").unwrap_or_default()))
            }
            ("GET", "/-/kv-watch") => {
                *self.watch_began.lock().unwrap() = Some(Instant::now());
                let number =
                    |name: &str| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                (200, self.watch(&prefix, number("after"), Duration::from_millis(number("waitMs"))))
            }
            ("GET", "/-/kv-key") => self.key(&field("key").unwrap_or_default()),
            ("POST", "/-/kv-txn") => self.transaction(&String::from_utf8_lossy(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let content = self.content.0.lock().unwrap();
        let mut items = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .peekable();
        let page: Vec<String> =
            items.by_ref().take(PAGE).map(|(key, item)| item_json(key, item)).collect();
        let more = items.peek().is_some();
        format!(
            "{{\"items\":[{}],\"hasMore\":{more},\"asOf\":{}}}",
            page.join(","),
            content.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait.min(Duration::from_secs(30));
        let mut content = self.content.0.lock().unwrap();
        loop {
            let events: Vec<String> = content
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    content.revision
                );
            }
            content = self.content.1.wait_timeout(content, deadline - now).unwrap().0;
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let content = self.content.0.lock().unwrap();
        match content.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    /// A transaction with one expected key and one put, as the hosts send it.
    fn transaction(&self, body: &str) -> (u16, String) {
        let text = |name: &str, from: &str| {
            let start = from.find(&format!("\"{name}\":\""))? + name.len() + 4;
            from[start..].split('"').next().map(str::to_owned)
        };
        let puts = body.find("\"puts\"").map_or("", |at| &body[at..]);
        let revision = body.find("\"revision\":").map_or(0, |at| {
            let digits: String = body[at + 11..].chars().take_while(char::is_ascii_digit).collect();
            digits.parse().unwrap_or(0)
        });
        let (Some(key), Some(value)) = (text("key", puts), text("value", puts)) else {
            return (400, "{}".to_owned());
        };
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_owned());
        }
        let mut content = self.content.0.lock().unwrap();
        let present = content.items.get(&key).map_or(0, |item| item.revision);
        if present != revision {
            let items = content.items.get(&key).map(|item| item_json(&key, item));
            return (412, format!("{{\"items\":[{}]}}", items.unwrap_or_default()));
        }
        let written = put_item(&mut content, &key, &base64_decode(&value));
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.content.1.notify_all();
        (200, format!("{{\"revision\":{written}}}"))
    }
}

fn put_item(content: &mut Content, key: &str, value: &[u8]) -> u64 {
    content.revision += 1;
    let revision = content.revision;
    let created = content.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value: value.to_vec(), revision, created };
    content.items.insert(key.to_owned(), item.clone());
    content.history.push((revision, key.to_owned(), Some(item)));
    revision
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":0}}",
        base64_encode(&item.value),
        item.revision,
        item.created
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * at)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for symbol in text.bytes().filter(|symbol| *symbol != b'=') {
        let Some(value) = ALPHABET.iter().position(|known| *known == symbol) else { continue };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
