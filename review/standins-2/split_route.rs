//! Case 6: a route of resumable streams is split between two services.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::early_use::{NEW, OLD, serve};
use crate::kit::{self, Entry, Record, Route, Store};

const ENTRIES: [&str; 3] = ["front-luzon-a-1", "front-luzon-a-2", "front-luzon-a-3"];
/// Streams through each entry, all at the same time.
const STREAMS: usize = 30;
/// Streams through the first entry whose connections are reset: a share of 0.667, at one entry of three. The site file resets up to
/// 0.692 of the connections of 0.459 of the entries.
const RESET_STREAMS: usize = 20;
/// Events that a caller reads before its connection is reset.
const READ_EVENTS: u64 = 3;
/// `configApplyMs` and `stableWindowMs`.
const CONFIG_APPLIES: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let store = Store::start();
    let route = Route {
        prefix: "/chat/",
        kind: "streaming",
        service: "engines",
        timeout_ms: 12_000,
        target_ms: 300,
        max_attempts: 2,
        can_resume: true,
    };
    let whole = kit::configuration(7, &[route]);
    store.put("op/config", &whole);
    for (names, service, version) in [(OLD, "engines", "v1"), (NEW, "engines-next", "v2")] {
        for name in names {
            let record = Arc::clone(record);
            let address = kit::listen(move |stream| serve(name, stream, &record));
            store.put(&format!("servers/{name}"), &kit::versioned_record(service, address, "ready", 64, version));
        }
    }
    let entries: Option<Vec<_>> = ENTRIES.iter().map(|name| Entry::start(name, store.address)).collect();
    let Some(entries) = entries else {
        return Outcome::CannotRun("an entry did not start".to_owned());
    };
    thread::sleep(STABLE_WINDOW);
    store.put("op/config", &split(&whole));
    record.note("configuration 8 is confirmed: 80 of 100 requests go to engines (v1), 20 to engines-next (v2)");
    thread::sleep(CONFIG_APPLIES + STABLE_WINDOW);
    // A caller whose connection broke tries another entry.
    let addresses: Vec<_> = entries.iter().map(|entry| entry.callers).collect();
    let joined: usize = thread::scope(|scope| {
        let threads = (0..ENTRIES.len() * STREAMS).map(|number| {
            let first = number / STREAMS;
            let callers = [addresses[first], addresses[(first + 1) % addresses.len()]];
            let is_reset = has_trouble && number < RESET_STREAMS;
            scope.spawn(move || usize::from(call(callers, number, is_reset, record)))
        });
        let threads: Vec<_> = threads.collect();
        threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum()
    });
    record.note(format!("{joined} of {RESET_STREAMS} streams that were reset are joined from two services and versions"));
    if joined > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Returns the next configuration, in which the route is split.
fn split(whole: &str) -> String {
    let engines = r#"{"name":"engines","#;
    let next = r#"{"name":"engines-next","healthPath":"/health","maxConnections":740,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":302919,"stride":6}},"#;
    let backends = r#""backends":[{"service":"engines","weight":80},{"service":"engines-next","weight":20}]"#;
    whole
        .replace(r#""version":7"#, r#""version":8"#)
        .replace(r#""service":"engines""#, backends)
        .replace(engines, &format!("{next}{engines}"))
}

/// Reads a stream until its connection is reset and takes it up. Returns whether the text is joined from two versions.
fn call(callers: [SocketAddr; 2], number: usize, is_reset: bool, record: &Record) -> bool {
    let (mut last, mut versions) = (0, Vec::<String>::new());
    for (attempt, address) in callers.into_iter().enumerate() {
        let id = format!("a-{number}-{attempt}");
        let mut more = "X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 628,360\r\n".to_owned();
        if last > 0 {
            more += &format!("Last-Event-Id: {last}\r\n");
        }
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let text = kit::request("POST", &format!("/chat/{number}"), &id, 12_000, &more, "hello");
        let _ = stream.write_all(text.as_bytes());
        let mut reader = BufReader::new(stream);
        let Some(head) = kit::read_head(&mut reader) else { return false };
        if head.status() != 200 {
            record.note(format!("caller got {id} after event {last}: {}", head.status()));
            return false;
        }
        let is_cut = is_reset && attempt == 0;
        let (mut is_whole, mut next, mut line) = (false, 0, String::new());
        while !is_whole && !(is_cut && last >= READ_EVENTS) && reader.read_line(&mut line).unwrap_or(0) > 0 {
            let text = line.trim();
            is_whole = text == "0";
            if let Some(event) = text.strip_prefix("id: ") {
                next = event.parse().unwrap_or(last);
            }
            if let Some(data) = text.strip_prefix("data: ") {
                versions.push(data.split(' ').next().unwrap_or("").to_owned());
                last = next;
            }
            line.clear();
        }
        versions.dedup();
        let end = if is_whole { "complete" } else { "its connection is reset" };
        record.note(format!("caller got {id}: 200, events up to {last}, text from {versions:?}, {end}"));
        if is_whole {
            break;
        }
    }
    versions.len() > 1
}
