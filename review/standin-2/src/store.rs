//! The platform's metadata store, over HTTP as `PROTOCOL.md` describes it.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

struct Event {
    revision: u64,
    json: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
}

pub struct Store {
    pub address: SocketAddrV4,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(ip: std::net::Ipv4Addr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let port = listener.local_addr()?.port();
        let store = Arc::new(Self {
            address: SocketAddrV4::new(ip, port),
            state: Mutex::new(State { revision: 1, ..State::default() }),
            changed: Condvar::new(),
        });
        let server = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                std::thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes a value; returns its revision. The return is the confirmation.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = state.put(key, value);
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or("").to_owned();
            let target = words.next().unwrap_or("").to_owned();
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header)? == 0 {
                    return Ok(());
                }
                if header.trim().is_empty() {
                    break;
                }
                let (name, value) = header.split_once(':').unwrap_or(("", ""));
                if name.eq_ignore_ascii_case("content-length") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            // The pages give 4 ms for an answer.
            std::thread::sleep(Duration::from_millis(4));
            let (status, reply) = self.answer(&method, &target, &body);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                reply.len()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(reply.as_bytes())?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (method, path) {
            ("GET", "/-/kv-range") => self.range(&text("prefix"), &text("after")),
            ("GET", "/-/kv-watch") => {
                let after = text("after").parse().unwrap_or(0);
                let wait = text("waitMs").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, Duration::from_millis(wait))
            }
            ("GET", "/-/kv-key") => {
                let state = self.state.lock().unwrap();
                match state.items.get(&text("key")) {
                    Some(item) => (200, item_json(&text("key"), item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", "/-/kv-txn") => self.transact(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = found.len() > PAGE_ITEMS;
        let items = found[..found.len().min(PAGE_ITEMS)].join(",");
        (200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"asOf\":{}}}", state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait.min(Duration::from_secs(30));
        let key_start = format!("{{\"key\":\"{prefix}");
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.json.starts_with(&key_start))
                .map(|event| event.json.as_str())
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"asOf\":{}}}", state.revision));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// The hosts write one key on the condition of its revision.
    fn transact(&self, body: &str) -> (u16, String) {
        let expected = section(body, "expected");
        let puts = section(body, "puts");
        let (Some(key), Some(revision)) = (text_field(&expected, "key"), number_field(&expected))
        else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let known = state.items.get(&key).map_or(0, |item| item.revision);
        if known != revision {
            let items = state.items.get(&key).map(|item| item_json(&key, item)).unwrap_or_default();
            return (412, format!("{{\"items\":[{items}]}}"));
        }
        if key.starts_with("op/") || key.starts_with("servers/") {
            return (403, "{}".to_owned());
        }
        if let (Some(put_key), Some(value)) = (text_field(&puts, "key"), text_field(&puts, "value"))
        {
            let value = base64_decode(&value);
            state.put(&put_key, &value);
            self.changed.notify_all();
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: &[u8]) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_vec(), revision, created };
        let json = item_json(key, &item);
        self.items.insert(key.to_owned(), item);
        self.events.push(Event { revision, json });
        revision
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":0}}",
        quote(key),
        base64_encode(&item.value),
        item.revision,
        item.created
    )
}

fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn section(body: &str, name: &str) -> String {
    let start = body.find(&format!("\"{name}\":[")).map_or(body.len(), |at| at);
    let rest = &body[start..];
    rest[..rest.find(']').map_or(rest.len(), |end| end + 1)].to_owned()
}

fn text_field(json: &str, name: &str) -> Option<String> {
    let start = json.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let rest = &json[start..];
    Some(rest[..rest.find('"')?].to_owned())
}

fn number_field(json: &str) -> Option<u64> {
    let start = json.find("\"revision\":")? + 11;
    let digits: String = json[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            let is_padding = digit > chunk.len();
            out.push(if is_padding { '=' } else { DIGITS[index as usize] as char });
        }
    }
    out
}

fn base64_decode(text: &str) -> Vec<u8> {
    let (mut out, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for digit in text.bytes().filter_map(|byte| DIGITS.iter().position(|known| *known == byte)) {
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}
