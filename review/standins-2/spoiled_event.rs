//! Case 10: one event of a resumable stream is spoiled while its server goes on with the stream, and the server that takes the
//! stream up has just turned slow.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::kit::{self, Entry, Message, Record, Route, Store, lock};

/// One of them turns slow: a share of 0.143, below the site file's 0.16.
const SERVERS: [&str; 7] = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"];
/// Whole answers that a server gives before it spoils one: the bench's own dose of `garble` is one in fifty.
const WHOLE_ANSWERS_PER_SPOILED: u32 = 50;
/// Streams of a few events that are sent before each long one.
const SHORT_STREAMS: usize = 480;
const CALLERS: usize = 40;
/// Long streams that are sent until one is spoiled.
const LONG_STREAMS: usize = 3;
const LONG_EVENTS: u64 = 25;
const SHORT_EVENTS: u64 = 3;
/// Number of the event that is spoiled.
const SPOILED: u64 = 5;
/// Time to the first token, `first_ms` of the site file.
const FIRST_TOKEN: Duration = Duration::from_millis(60);
/// Time from the first token to the first event, six tokens at 20 ms. A step of the sheet's engines takes 10.8 ms with all slots
/// taken, and 22 ms more while it reads a chunk of another request's long prompt.
const FIRST_EVENT: Duration = Duration::from_millis(120);
/// Time between two later events, six tokens at 10 ms.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Factor of a server that has turned slow, the site file's and the bench's dose of `srv_slow`.
const SLOW: u32 = 5;
/// Time for which it is slow, as in the site file.
const SLOW_TIME: Duration = Duration::from_millis(6_500);
/// Time for which the rule lets the server before go on.
const ALLOWED_OVERLAP: Duration = Duration::from_millis(400);
/// `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Work of one server on one request.
struct Run {
    server: &'static str,
    /// Time of the first token, with which a request starts to run.
    began: Option<Instant>,
    ended: Option<Instant>,
}

/// All servers.
struct Servers {
    record: Arc<Record>,
    has_trouble: bool,
    runs: Mutex<BTreeMap<String, Vec<Run>>>,
    whole_answers: Mutex<BTreeMap<&'static str, u32>>,
    /// Server that turns slow when it takes up the first stream, and the time at which it does.
    slow: OnceLock<(&'static str, Instant)>,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let store = Store::start();
    let servers = Arc::new(Servers {
        record: Arc::clone(record),
        has_trouble,
        runs: Mutex::default(),
        whole_answers: Mutex::default(),
        slow: OnceLock::new(),
    });
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
    for name in SERVERS {
        let servers = Arc::clone(&servers);
        let address = kit::listen(move |stream| servers.serve(name, stream));
        store.put(&format!("servers/{name}"), &kit::server_record("engines", address, "ready", 64));
    }
    let Some(entry) = Entry::start("front-luzon-a-1", store.address) else {
        return Outcome::CannotRun("the entry did not start".to_owned());
    };
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    for number in 0..LONG_STREAMS {
        if servers.slow.get().is_some() {
            break;
        }
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let callers = entry.callers;
                scope.spawn(move || {
                    for stream in 0..SHORT_STREAMS / CALLERS {
                        call(callers, &format!("s-{number}-{caller}-{stream}"), SHORT_EVENTS);
                    }
                });
            }
        });
        record.note(format!("{SHORT_STREAMS} short streams were answered"));
        let id = format!("long-{number}");
        record.note(format!("caller sends {id}"));
        match call(entry.callers, &id, LONG_EVENTS) {
            Some(got) => {
                let events = String::from_utf8_lossy(&got.body).matches("\n\n").count();
                record.note(format!("caller got {id}: {}, {events} events, complete: {}", got.status(), got.is_complete));
            }
            None => record.note(format!("caller got {id}: no answer")),
        }
    }
    thread::sleep(Duration::from_millis(500));
    servers.judge()
}

/// Sends the request for a stream of so many events and reads the answer.
fn call(callers: SocketAddr, id: &str, events: u64) -> Option<Message> {
    let more = "X-Tanagerford-Model: m\r\nX-Tanagerford-Token-Counts: 628,360\r\n\
        X-Tanagerford-Prompt-Prefix: 5c1e07a2:119,91bd3f06:509\r\n";
    let text = kit::request("POST", &format!("/chat/{events}"), id, 12_000, more, "hello");
    let mut stream = TcpStream::connect(callers).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    kit::read_message(&mut BufReader::new(stream), false)
}

impl Servers {
    /// Serves the requests of one connection.
    fn serve(&self, name: &'static str, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(reader), stream);
        while let Some(request) = kit::read_message(&mut reader, true) {
            let id = request.id().to_owned();
            let position = {
                let mut runs = lock(&self.runs);
                let of_request = runs.entry(id.clone()).or_default();
                of_request.push(Run { server: name, began: None, ended: None });
                of_request.len() - 1
            };
            let update = |apply: &dyn Fn(&mut Run)| {
                if let Some(run) = lock(&self.runs).get_mut(&id).and_then(|runs| runs.get_mut(position)) {
                    apply(run);
                }
            };
            let on_first_token = || update(&|run| run.began = Some(Instant::now()));
            let is_whole = self.work_on(name, &request, &mut writer, &on_first_token);
            update(&|run| run.ended = Some(Instant::now()));
            if !is_whole {
                self.record.note(format!("{name} stops, its connection is closed: {id}"));
                return;
            }
            *lock(&self.whole_answers).entry(name).or_default() += 1;
        }
    }

    /// Works on a stream until its end or until the connection is closed; returns whether it came to its end.
    fn work_on(&self, name: &'static str, request: &Message, writer: &mut TcpStream, on_first_token: &dyn Fn()) -> bool {
        let id = request.id();
        let is_long = id.starts_with("long");
        let path = request.line.split(' ').nth(1).unwrap_or("");
        let events: u64 = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let after: u64 = request.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
        if after > 0 && self.slow.set((name, Instant::now())).is_ok() {
            self.record.note(format!("{name} has turned slow"));
        }
        let factor = || {
            let slow = self.slow.get();
            let is_slow = slow.is_some_and(|(server, since)| *server == name && since.elapsed() < SLOW_TIME);
            if is_slow { SLOW } else { 1 }
        };
        let may_spoil = self.has_trouble && is_long && after == 0 && self.take_spoiled(name);
        if is_long {
            self.record.note(format!("{name} gets {id} after event {after}"));
        }
        if !work(writer, FIRST_TOKEN * factor()) {
            return false;
        }
        on_first_token();
        if is_long {
            self.record.note(format!("{name} makes the first token of {id}"));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Tanagerford-Attempt-Id: {id}\r\n\
             X-Tanagerford-Response-Seal: {name}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = writer.write_all(head.as_bytes()).is_ok() && work(writer, FIRST_EVENT * factor());
        for number in after + 1..=events {
            let event = if may_spoil && number == SPOILED {
                self.record.note(format!("{name} spoils event {number} of {id} and goes on"));
                "@@@@ @@ @@@@@\n\n".to_owned()
            } else {
                format!("id: {number}\ndata: {id} {number}\n\n")
            };
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && writer.write_all(chunk.as_bytes()).is_ok() && work(writer, EVENT_INTERVAL * factor());
            if !is_open {
                return false;
            }
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Returns whether the server may spoil an answer, since it has given enough whole ones.
    fn take_spoiled(&self, name: &'static str) -> bool {
        let mut answers = lock(&self.whole_answers);
        let count = answers.entry(name).or_default();
        let may_spoil = *count >= WHOLE_ANSWERS_PER_SPOILED;
        if may_spoil {
            *count = 0;
        }
        may_spoil
    }

    fn judge(&self) -> Outcome {
        let mut is_broken = false;
        for (id, runs) in &*lock(&self.runs) {
            for pair in runs.windows(2) {
                let (before, after) = (&pair[0], &pair[1]);
                let Some(began) = after.began else { continue };
                let ended = before.ended.unwrap_or_else(Instant::now);
                let overlap = ended.saturating_duration_since(began);
                is_broken |= overlap > ALLOWED_OVERLAP;
                let (before, after) = (before.server, after.server);
                self.record.note(format!("{id}: {before} was at work {overlap:?} after {after} made its first token"));
            }
        }
        if is_broken { Outcome::Broken } else { Outcome::Held }
    }
}

/// Works for a time; returns false at once when the connection is closed.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if kit::is_closed(stream) {
            return false;
        }
        thread::sleep(Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())));
    }
    !kit::is_closed(stream)
}
