//! Case 9: the store comes back from a copy that is some seconds old, while an entry restarts and servers of two versions run.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::early_use::{NEW, OLD, serve};
use crate::kit::{self, Entry, Record, Route, Store};

const STREAMS: usize = 8;
/// Time from the copy of the store until the new servers register.
const NEW_REGISTER: Duration = Duration::from_millis(300);
/// Time from the record of the new version until the callers send: the servers of a new version get calls 2 s after it was recorded.
const ACTIVATION: Duration = Duration::from_millis(2_300);
/// Times from the moment at which the callers send.
const STORE_AWAY: Duration = Duration::from_millis(600);
const ENTRY_KILLED: Duration = Duration::from_millis(700);
const STORE_BACK: Duration = Duration::from_millis(1_600);
/// Time until the servers whose records are gone have written them again: `heartbeatMs` of the settings.
const SERVERS_BACK: Duration = Duration::from_millis(1_200);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// A caller takes its stream up a few times, after a pause each time, or when `Retry-After` says.
const MAX_ATTEMPTS: u32 = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(600);
const CALLER_DEADLINE: Duration = Duration::from_secs(12);
/// `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const RECORD_TIMEOUT: Duration = Duration::from_secs(15);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let store = Store::start();
    let (address, link) = store.second_address();
    let route = Route {
        prefix: "/chat/",
        kind: "streaming",
        service: "engines",
        timeout_ms: 12_000,
        target_ms: 300,
        max_attempts: 2,
        can_resume: true,
    };
    store.put("op/config", &kit::configuration(7, &[route]));
    let mut addresses = BTreeMap::new();
    for name in OLD.into_iter().chain(NEW) {
        let record = Arc::clone(record);
        addresses.insert(name, kit::listen(move |stream| serve(name, stream, &record)));
    }
    let register = |name: &str, version: &str| {
        store.put(&format!("servers/{name}"), &kit::versioned_record("engines", addresses[name], "ready", 64, version));
        record.note(format!("{name} ({version}) registers"));
    };
    for name in OLD {
        register(name, "v1");
    }
    let Some(mut entry) = Entry::start("front-luzon-a-1", address) else {
        return Outcome::CannotRun("the entry did not start".to_owned());
    };
    let wait_for_record = |version: &str| {
        let end = Instant::now() + RECORD_TIMEOUT;
        while !store.value("tanagerford/stream-versions").contains(version) {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.note(format!("{version} is recorded"));
        true
    };
    if !wait_for_record("v1") {
        return Outcome::CannotRun("v1 was not recorded".to_owned());
    }
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    let copy = store.copy();
    record.note("a copy of the store is made");
    thread::sleep(NEW_REGISTER);
    for name in NEW {
        register(name, "v2");
    }
    if !wait_for_record("v2") {
        return Outcome::CannotRun("v2 was not recorded".to_owned());
    }
    thread::sleep(ACTIVATION);
    let began = Instant::now();
    let wait_until = |time: Duration| thread::sleep(time.saturating_sub(began.elapsed()));
    let callers = entry.callers;
    let joined: usize = thread::scope(|scope| {
        let readers: Vec<_> = (0..STREAMS)
            .map(|number| scope.spawn(move || usize::from(call(callers, number, record))))
            .collect();
        if has_trouble {
            wait_until(STORE_AWAY);
            link.take_away();
            record.note("the store is away");
            wait_until(ENTRY_KILLED);
            record.note("the entry is killed");
            if let Err(error) = entry.kill_and_restart(RESTART_DELAY) {
                record.note(format!("the entry does not start again: {error}"));
            }
            record.note("the entry starts again");
            wait_until(STORE_BACK);
            store.restore(copy);
            link.heal();
            record.note("the store is back from the copy");
            thread::sleep(SERVERS_BACK);
            for name in NEW {
                register(name, "v2");
            }
        }
        readers.into_iter().map(|reader| reader.join().unwrap_or(0)).sum()
    });
    record.note(format!("{joined} of {STREAMS} streams are joined from two versions"));
    if joined > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Reads a stream, and takes it up as often as its connection breaks. Returns whether the text is joined from two versions.
fn call(callers: SocketAddr, number: usize, record: &Record) -> bool {
    let end = Instant::now() + CALLER_DEADLINE;
    let (mut last, mut versions) = (0, Vec::<String>::new());
    let mut pause = Duration::ZERO;
    for attempt in 0..MAX_ATTEMPTS {
        thread::sleep(std::mem::replace(&mut pause, RETRY_PAUSE));
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let id = format!("a-{number}-{attempt}");
        let Ok(mut stream) = TcpStream::connect(callers) else {
            record.note(format!("caller cannot connect for {id}"));
            continue;
        };
        let mut more = "X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 628,360\r\n".to_owned();
        if last > 0 {
            more += &format!("Last-Event-Id: {last}\r\n");
        }
        let remaining_ms = u32::try_from(left.as_millis()).unwrap_or(0);
        let text = kit::request("POST", &format!("/chat/{number}"), &id, remaining_ms, &more, "hello");
        let _ = stream.write_all(text.as_bytes());
        let mut reader = BufReader::new(stream);
        let Some(head) = kit::read_head(&mut reader) else {
            record.note(format!("caller got no answer to {id}"));
            continue;
        };
        if head.status() != 200 {
            let retry_after: f64 = head.header("retry-after").and_then(|value| value.parse().ok()).unwrap_or(0.0);
            record.note(format!("caller got {id} after event {last}: {}, retry after {retry_after} s", head.status()));
            pause = pause.max(Duration::from_secs_f64(retry_after).min(left / 3));
            continue;
        }
        let (mut is_whole, mut next, mut line) = (false, 0, String::new());
        while reader.read_line(&mut line).unwrap_or(0) > 0 {
            let text = line.trim();
            is_whole |= text == "0";
            if let Some(event) = text.strip_prefix("id: ") {
                next = event.parse().unwrap_or(last);
            }
            if let Some(data) = text.strip_prefix("data: ") {
                versions.push(data.split(' ').next().unwrap_or("").to_owned());
                last = next;
            }
            if is_whole {
                break;
            }
            line.clear();
        }
        versions.dedup();
        let end = if is_whole { "complete" } else { "the connection broke" };
        record.note(format!("caller got {id}: 200, events up to {last}, text from {versions:?}, {end}"));
        if is_whole {
            break;
        }
    }
    versions.len() > 1
}
