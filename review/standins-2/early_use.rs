//! Case 8: the servers of a pool are replaced by ones of a newer version, while the store turns one entry away.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::kit::{self, Entry, Record, Route, Store, StoreLink};

pub const OLD: [&str; 2] = ["i-1", "i-2"];
pub const NEW: [&str; 2] = ["i-3", "i-4"];
/// Streams through the first entry, and those whose connections are reset: a share of 0.667, at one entry of three. The site file
/// resets up to 0.692 of the connections of 0.459 of the entries.
const STREAMS: usize = 6;
const RESET_STREAMS: usize = 4;
const EVENTS: u64 = 30;
/// Time to the first token and between two events: `first_ms` of the site file, and six tokens at 10 ms.
const FIRST_TOKEN: Duration = Duration::from_millis(60);
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Times from the moment at which the store falls silent for one entry.
const NEW_REGISTER: Duration = Duration::from_millis(50);
const OLD_DRAIN: Duration = Duration::from_millis(350);
const CALLERS_SEND: Duration = Duration::from_millis(600);
/// Events that a caller reads before its connection is reset.
const READ_EVENTS: u64 = 3;
/// `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const RECORD_TIMEOUT: Duration = Duration::from_secs(15);

/// Three entries, of which the second one reaches the store by a way of its own, and servers of two versions.
pub struct Fleet {
    record: Arc<Record>,
    store: Store,
    addresses: BTreeMap<&'static str, SocketAddr>,
    pub link: Arc<StoreLink>,
    pub first: Entry,
    pub second: Entry,
    _third: Entry,
}

impl Fleet {
    /// Starts the entries with the servers of the old version and waits until both are in touch.
    pub fn start(record: &Arc<Record>) -> Result<Self, String> {
        let store = Store::start();
        let (second_address, link) = store.second_address();
        store.put("op/config", &configuration(12_000));
        let mut addresses = BTreeMap::new();
        for name in OLD.into_iter().chain(NEW) {
            let record = Arc::clone(record);
            addresses.insert(name, kit::listen(move |stream| serve(name, stream, &record)));
        }
        for name in OLD {
            let value = kit::versioned_record("engines", addresses[name], "ready", 64, "v1");
            store.put(&format!("servers/{name}"), &value);
        }
        let first = Entry::start("front-luzon-a-1", store.address);
        let second = Entry::start("front-luzon-a-2", second_address);
        let third = Entry::start("front-luzon-a-3", store.address);
        let (Some(first), Some(second), Some(third)) = (first, second, third) else {
            return Err("an entry did not start".to_owned());
        };
        let end = Instant::now() + RECORD_TIMEOUT;
        while store.contains("tanagerford/stream-versions") == 0 {
            if Instant::now() > end {
                return Err("the entries have not recorded the version of the servers".to_owned());
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
        Ok(Self { record: Arc::clone(record), store, addresses, link, first, second, _third: third })
    }

    /// Writes the configuration with this version, which is also the timeout of its route.
    pub fn configure(&self, version: u32) {
        self.store.put("op/config", &configuration(version));
        self.record.note(format!("configuration {version} is confirmed"));
    }

    pub fn register(&self, names: [&str; 2], state: &str, version: &str) {
        for name in names {
            let value = kit::versioned_record("engines", self.addresses[name], state, 64, version);
            self.store.put(&format!("servers/{name}"), &value);
            self.record.note(format!("{name} ({version}) is registered as {state}"));
        }
    }

    /// Has callers begin streams at the first entry and take them up at the second one; `before_reset` runs in each of them
    /// before its connection is reset. Returns whether a text is joined from two versions.
    pub fn call(&self, before_reset: impl Fn() + Sync) -> Outcome {
        let joined: usize = thread::scope(|scope| {
            let callers = (0..STREAMS).map(|number| {
                let before_reset = &before_reset;
                scope.spawn(move || {
                    usize::from(call(self.first.callers, self.second.callers, number, &self.record, before_reset))
                })
            });
            let callers: Vec<_> = callers.collect();
            callers.into_iter().map(|caller| caller.join().unwrap_or(0)).sum()
        });
        self.record.note(format!("{joined} of {RESET_STREAMS} streams that were reset are joined from two versions"));
        if joined > 0 { Outcome::Broken } else { Outcome::Held }
    }
}

fn configuration(timeout_ms: u32) -> String {
    let route = Route {
        prefix: "/chat/",
        kind: "streaming",
        service: "engines",
        timeout_ms,
        target_ms: 300,
        max_attempts: 2,
        can_resume: true,
    };
    kit::configuration(timeout_ms, &[route])
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let fleet = match Fleet::start(record) {
        Ok(fleet) => fleet,
        Err(reason) => return Outcome::CannotRun(reason),
    };
    fleet.configure(12_001);
    thread::sleep(Duration::from_millis(30));
    let began = Instant::now();
    let wait_until = |time: Duration| thread::sleep(time.saturating_sub(began.elapsed()));
    if has_trouble {
        fleet.link.silence();
        record.note("the store answers the second entry no more");
    }
    wait_until(NEW_REGISTER);
    fleet.register(NEW, "ready", "v2");
    wait_until(OLD_DRAIN);
    fleet.register(OLD, "draining", "v1");
    wait_until(CALLERS_SEND);
    fleet.call(|| ())
}

/// Reads a stream from the first entry until its connection is reset, and takes it up at the second one. Returns whether the
/// text is joined from two versions.
fn call(
    first: SocketAddr,
    second: SocketAddr,
    number: usize,
    record: &Record,
    before_reset: &impl Fn(),
) -> bool {
    let head = "X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 628,360\r\n\
        X-Tanagerford-Prompt-Prefix: 5c1e07a2:119,91bd3f06:509\r\n";
    let path = format!("/chat/{number}");
    let first_id = format!("a-{number}");
    let Ok(mut stream) = TcpStream::connect(first) else { return false };
    let _ = stream.write_all(kit::request("POST", &path, &first_id, 12_000, head, "hello").as_bytes());
    let mut reader = BufReader::new(stream);
    let Some(answer) = kit::read_head(&mut reader) else { return false };
    let (mut last, mut next, mut versions, mut line) = (0, 0, Vec::new(), String::new());
    let is_reset = number < RESET_STREAMS;
    while !(is_reset && last >= READ_EVENTS) && reader.read_line(&mut line).unwrap_or(0) > 0 {
        if line.trim() == "0" {
            break;
        }
        if let Some(id) = line.trim().strip_prefix("id: ") {
            next = id.parse().unwrap_or(last);
        }
        if let Some(data) = line.trim().strip_prefix("data: ") {
            versions.push(data.split(' ').next().unwrap_or("").to_owned());
            last = next;
        }
        line.clear();
    }
    if !is_reset {
        record.note(format!("caller got {first_id}: {}, events up to {last}; not reset", answer.status()));
        return false;
    }
    before_reset();
    record.note(format!("caller got {first_id}: {}, events up to {last} from {versions:?}; its connection is reset", answer.status()));
    drop(reader);
    let second_id = format!("b-{number}");
    let Ok(mut stream) = TcpStream::connect(second) else { return false };
    let more = format!("{head}Last-Event-Id: {last}\r\n");
    let _ = stream.write_all(kit::request("POST", &path, &second_id, 11_500, &more, "hello").as_bytes());
    let Some(answer) = kit::read_message(&mut BufReader::new(stream), false) else {
        record.note(format!("caller got {second_id}: no answer"));
        return false;
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut rest: Vec<_> = lines.map(|data| data.split(' ').next().unwrap_or("").to_owned()).collect();
    let events = rest.len();
    rest.dedup();
    record.note(format!(
        "caller got {second_id}, which takes up {first_id} after {last}: {}, {events} events from {rest:?}, complete: {}",
        answer.status(),
        answer.is_complete
    ));
    let is_joined = rest.iter().any(|version| versions.iter().any(|before| before != version));
    answer.status() == 200 && is_joined
}

/// Serves the requests of one connection. The text of each event names the version of the server.
pub fn serve(name: &'static str, stream: TcpStream, record: &Record) {
    let version = if OLD.contains(&name) { "v1" } else { "v2" };
    let Ok(reader) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(reader), stream);
    while let Some(request) = kit::read_message(&mut reader, true) {
        let id = request.id();
        let after: u64 = request.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
        record.note(format!("{name} ({version}) runs {id} after event {after}"));
        thread::sleep(FIRST_TOKEN);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Tanagerford-Attempt-Id: {id}\r\n\
             X-Tanagerford-Response-Seal: {name}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && !kit::is_closed(&writer) && writer.write_all(chunk.as_bytes()).is_ok();
            if !is_open {
                record.note(format!("{name} stops, its connection is closed: {id}"));
                return;
            }
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}
