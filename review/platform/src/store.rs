//! Stand-in of the platform's store: range, watch, history of 20 s, answers after 4 ms.
//! It listens on one address for each instance, so that the record tells who asked.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const HISTORY: Duration = Duration::from_secs(20);
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Clone)]
struct Event {
    at: Instant,
    rev: u64,
    key: String,
    value: Option<String>,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Debug, Default)]
struct Content {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    /// Changes up to this revision are no longer in the history.
    dropped: u64,
    /// What was asked and answered: instance, path, status, bytes of the body.
    calls: Vec<(Instant, usize, String, u16, usize)>,
}

#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn listen(&self, address: SocketAddrV4, instance: usize) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream, instance));
            }
        });
    }

    /// Writes an item, or removes it. Returns the revision and the time of the ack.
    pub fn write(&self, key: &str, value: Option<String>) -> (u64, Instant) {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.rev += 1;
        let rev = content.rev;
        let value = value.map(|value| base64(value.as_bytes()));
        match &value {
            Some(value) => {
                let created = content.items.get(key).map_or(rev, |item| item.created);
                let item = Item { value: value.clone(), rev, created };
                content.items.insert(key.to_string(), item);
            }
            None => {
                content.items.remove(key);
            }
        }
        let at = Instant::now();
        content.events.push_back(Event { at, rev, key: key.to_string(), value });
        changed.notify_all();
        (rev, at)
    }

    pub fn calls(&self) -> Vec<(Instant, usize, String, u16, usize)> {
        self.shared.0.lock().unwrap().calls.clone()
    }

    fn serve(&self, mut stream: TcpStream, instance: usize) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        let mut part = [0; 4096];
        loop {
            while !buffer.windows(4).any(|window| window == b"\r\n\r\n") {
                match stream.read(&mut part) {
                    Ok(0) | Err(_) => return,
                    Ok(length) => buffer.extend_from_slice(&part[..length]),
                }
            }
            let text = String::from_utf8_lossy(&buffer).into_owned();
            buffer.clear();
            let path = text.split(' ').nth(1).unwrap_or_default().to_string();
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&path);
            let call = (Instant::now(), instance, path, status, body.len());
            self.shared.0.lock().unwrap().calls.push(call);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(head.as_bytes()).is_err()
                || stream.write_all(body.as_bytes()).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (u16, String) {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let mut fields = BTreeMap::new();
        for pair in query.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            fields.insert(name.to_string(), unescape(value));
        }
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        match call {
            "/-/kv-range" => (200, self.range(&field("Prefix"), &field("after"))),
            "/-/kv-watch" => {
                let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
                self.watch(&field("Prefix"), field("after").parse().unwrap_or(0), wait)
            }
            "/-/kv-key" => self.key(&field("Key")),
            _ => (404, "{}".to_string()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let content = self.shared.0.lock().unwrap();
        match content.items.get(key) {
            Some(item) => (200, format!("{{{},\"AsOf\":{}}}", fields_of(key, item), content.rev)),
            None => (404, format!("{{\"AsOf\":{}}}", content.rev)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let content = self.shared.0.lock().unwrap();
        let mut items = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, item) in &content.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            let full = items.len() >= PAGE_ITEMS || bytes + item.value.len() > PAGE_BYTES;
            if full && !items.is_empty() {
                has_more = true;
                break;
            }
            bytes += item.value.len();
            items.push(format!("{{{}}}", fields_of(key, item)));
        }
        let as_of = content.rev;
        format!("{{\"items\":[{}],\"HasMore\":{has_more},\"AsOf\":{as_of}}}", items.join(","))
    }

    /// Returns all changes after a revision as soon as there is one.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        loop {
            while content.events.front().is_some_and(|event| event.at.elapsed() > HISTORY) {
                let event = content.events.pop_front().unwrap();
                content.dropped = event.rev;
            }
            if after < content.dropped {
                return (410, "{}".to_string());
            }
            let mut events = Vec::new();
            for event in &content.events {
                if event.rev <= after || !event.key.starts_with(prefix) {
                    continue;
                }
                events.push(match &event.value {
                    Some(value) => format!(
                        "{{\"Key\":\"{}\",\"Value\":\"{value}\",\"Rev\":{},\"CreatedRev\":{},\"Lease\":0}}",
                        event.key, event.rev, event.rev
                    ),
                    None => format!(
                        "{{\"Key\":\"{}\",\"Rev\":{},\"Deleted\":true}}",
                        event.key, event.rev
                    ),
                });
            }
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let as_of = content.rev;
                return (200, format!("{{\"events\":[{}],\"AsOf\":{as_of}}}", events.join(",")));
            }
            content = changed.wait_timeout(content, until - now).unwrap().0;
        }
    }
}

fn fields_of(key: &str, item: &Item) -> String {
    format!(
        "\"Key\":\"{key}\",\"Value\":\"{}\",\"Rev\":{},\"CreatedRev\":{},\"Lease\":0",
        item.value, item.rev, item.created
    )
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(Ok(byte)) = digits.map(|digits| u8::from_str_radix(digits, 16)) {
            plain.push(byte);
            at += 3;
            continue;
        }
        plain.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut three = [0_u8; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(LETTERS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
