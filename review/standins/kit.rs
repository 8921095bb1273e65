//! Stand-ins for the platform's store, workers and consumers, and helpers to run entries as separate processes.
//! Only the standard library is used, so that `rustc` alone builds it.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- record of what was sent, answered and run ----

#[derive(Clone)]
pub struct Record {
    /// Whether lines are also printed, as a worker in a process of its own does.
    pub is_echoed: bool,
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            is_echoed: false,
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
    pub fn add(&self, text: impl Into<String>) -> u64 {
        let at = self.now_ms();
        let text = text.into();
        if self.is_echoed {
            println!("{text}");
        }
        self.lines.lock().unwrap().push((at, text));
        at
    }
    /// Returns the number of lines that begin so.
    pub fn count(&self, start: &str) -> usize {
        self.lines
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, line)| line.starts_with(start))
            .count()
    }
    /// Returns the lines with this text and their times.
    pub fn lines_with(&self, text: &str) -> Vec<(u64, String)> {
        self.lines
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, line)| line.contains(text))
            .cloned()
            .collect()
    }
    pub fn save(&self) {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:>8.3} s  {line}\n", *at as f64 / 1000.0))
            .collect();
        let _ = fs::write(PathBuf::from(folder).join("record.txt"), text);
    }
}

// ---- JSON (only what the stand-in of the store reads) ----

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        Self::value(&bytes, &mut at)
    }
    fn space(text: &[char], at: &mut usize) {
        while text.get(*at).is_some_and(|c| c.is_whitespace()) {
            *at += 1;
        }
    }
    fn value(text: &[char], at: &mut usize) -> Option<Json> {
        Self::space(text, at);
        match *text.get(*at)? {
            '{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        '}' => {
                            *at += 1;
                            return Some(Json::Object(fields));
                        }
                        ',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Self::value(text, at)? else {
                                return None;
                            };
                            Self::space(text, at);
                            if *text.get(*at)? != ':' {
                                return None;
                            }
                            *at += 1;
                            fields.push((name, Self::value(text, at)?));
                        }
                    }
                }
            }
            '[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        ',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            '"' => {
                *at += 1;
                let mut out = String::new();
                loop {
                    let c = *text.get(*at)?;
                    *at += 1;
                    match c {
                        '"' => return Some(Json::Text(out)),
                        '\\' => {
                            let c = *text.get(*at)?;
                            *at += 1;
                            out.push(match c {
                                'n' => '\n',
                                't' => '\t',
                                'r' => '\r',
                                'u' => {
                                    let code: String = text.get(*at..*at + 4)?.iter().collect();
                                    *at += 4;
                                    char::from_u32(u32::from_str_radix(&code, 16).ok()?)?
                                }
                                other => other,
                            });
                        }
                        other => out.push(other),
                    }
                }
            }
            _ => {
                let start = *at;
                while text.get(*at).is_some_and(|c| !",]} \n\r\t".contains(*c)) {
                    *at += 1;
                }
                let word: String = text[start..*at].iter().collect();
                match word.as_str() {
                    "null" => Some(Json::Null),
                    other => other.parse().ok().map(Json::Number),
                }
            }
        }
    }
    pub fn get(&self, name: &str) -> &Json {
        if let Json::Object(fields) = self {
            if let Some((_, value)) = fields.iter().find(|(field, _)| field == name) {
                return value;
            }
        }
        &Json::Null
    }
    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self {
            list
        } else {
            &[]
        }
    }
    pub fn text(&self) -> &str {
        if let Json::Text(text) = self {
            text
        } else {
            ""
        }
    }
    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self {
            *number as u64
        } else {
            0
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(data: &[u8]) -> String {
    let mut out = String::new();
    for part in data.chunks(3) {
        let bits = part.iter().enumerate().fold(0u32, |bits, (i, byte)| {
            bits | u32::from(*byte) << (16 - 8 * i)
        });
        for i in 0..4 {
            if i <= part.len() {
                out.push(BASE64[(bits >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---- HTTP messages ----

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }
    pub fn id(&self) -> String {
        self.header("x-tanagerford-attempt-id")
            .unwrap_or("")
            .to_owned()
    }
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a message with its body; `None` if it ends early.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding") == Some("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    reader
        .read_line(&mut message.line)
        .ok()
        .filter(|length| *length > 0)?;
    message.line = message.line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|length| *length > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some(message);
        };
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a chunk; `Some(None)` is the end of the body, `None` an early end of the connection.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let mut line = String::new();
    reader
        .read_line(&mut line)
        .ok()
        .filter(|length| *length > 0)?;
    let length = usize::from_str_radix(line.trim_end(), 16).ok()?;
    let mut data = vec![0; length + 2];
    reader.read_exact(&mut data).ok()?;
    data.truncate(length);
    Some((length > 0).then_some(data))
}

// ---- the platform's store ----

#[derive(Default)]
struct StoreState {
    revision: u64,
    history: Vec<(u64, String, Option<String>)>,
    items: BTreeMap<String, (u64, String)>,
    /// Listener whose waiting watches are cut, and how many are still to be cut.
    cuts: BTreeMap<usize, usize>,
    waiting: BTreeMap<usize, usize>,
}

/// Store with one address for each entry, so that the watch of one entry can be cut.
#[derive(Clone)]
pub struct Store {
    pub addresses: Vec<SocketAddr>,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record, listeners: usize) -> Self {
        let bound: Vec<_> = (0..listeners)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let addresses = bound
            .iter()
            .map(|listener| listener.local_addr().unwrap())
            .collect();
        let store = Self {
            addresses,
            state: Arc::default(),
            record: record.clone(),
        };
        store.state.0.lock().unwrap().revision = 100;
        for (number, listener) in bound.into_iter().enumerate() {
            let store = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = store.clone();
                    thread::spawn(move || store.serve(number, stream));
                }
            });
        }
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state
            .0
            .lock()
            .unwrap()
            .change(key, Some(encode64(value.as_bytes())));
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.state.0.lock().unwrap().change(key, None);
        let at = self
            .record
            .add(format!("store: {key} is removed and the removal confirmed"));
        self.state.1.notify_all();
        at
    }

    /// Waits until a watch waits at a listener and cuts it: its connection is closed without an answer.
    pub fn cut_waiting_watch(&self, listener: usize) {
        let mut state = self.state.0.lock().unwrap();
        while state.waiting.get(&listener).copied().unwrap_or(0) == 0 {
            state = self.state.1.wait(state).unwrap();
        }
        *state.cuts.entry(listener).or_default() += 1;
        drop(state);
        self.state.1.notify_all();
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            // An answer takes 4 ms, as the sheets say.
            thread::sleep(Duration::from_millis(4));
            let Some((status, body)) = self.answer(number, &request) else {
                return;
            };
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, number: usize, request: &Message) -> Option<(u16, String)> {
        let target = request.line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| {
                (
                    name.to_owned(),
                    value.replace("%2F", "/").replace("%2f", "/"),
                )
            })
            .collect();
        let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        match path {
            "/tanagerford/kv-range" => {
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items
                    .map(|(key, (revision, value))| {
                        format!(r#"{{"key":"{key}","value":"{value}","modRevision":{revision},"created":{revision},"lease":0}}"#)
                    })
                    .collect();
                Some((
                    200,
                    format!(
                        r#"{{"items":[{}],"truncated":false,"asOf":{}}}"#,
                        items.join(","),
                        state.revision
                    ),
                ))
            }
            "/tanagerford/kv-watch" => {
                let after: u64 = after.parse().unwrap_or(0);
                let wait: u64 = query
                    .get("waitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut is_waiting = false;
                let is_cut = loop {
                    let has_events = state
                        .history
                        .iter()
                        .any(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                    let left = end.saturating_duration_since(Instant::now());
                    if has_events || left.is_zero() {
                        break false;
                    }
                    // Calls that wait for 1 ms ask whether there is news; they are no waiting watches.
                    if !is_waiting && wait > 100 {
                        is_waiting = true;
                        *state.waiting.entry(number).or_default() += 1;
                        self.state.1.notify_all();
                    }
                    if let Some(cuts) = state
                        .cuts
                        .get_mut(&number)
                        .filter(|cuts| is_waiting && **cuts > 0)
                    {
                        *cuts -= 1;
                        break true;
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                };
                if is_waiting {
                    *state.waiting.entry(number).or_default() -= 1;
                }
                if is_cut {
                    self.record.add(format!(
                        "store: the waiting watch of entry {} is cut",
                        number + 1
                    ));
                    return None;
                }
                let events = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                let events: Vec<String> = events
                    .map(|(revision, key, value)| match value {
                        Some(value) => format!(r#"{{"key":"{key}","value":"{value}","modRevision":{revision},"created":{revision},"lease":0}}"#),
                        None => format!(r#"{{"key":"{key}","modRevision":{revision},"removed":true}}"#),
                    })
                    .collect();
                Some((
                    200,
                    format!(
                        r#"{{"events":[{}],"asOf":{}}}"#,
                        events.join(","),
                        state.revision
                    ),
                ))
            }
            "/tanagerford/kv-txn" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
                let is_expected = body.get("expect").list().iter().all(|row| {
                    let current = state
                        .items
                        .get(row.get("key").text())
                        .map_or(0, |(revision, _)| *revision);
                    row.get("modRevision").number() == current
                });
                if !is_expected {
                    return Some((412, r#"{"items":[]}"#.to_owned()));
                }
                for put in body.get("puts").list() {
                    state.change(
                        put.get("key").text(),
                        Some(put.get("value").text().to_owned()),
                    );
                }
                for key in body.get("remove").list() {
                    state.change(key.text(), None);
                }
                let revision = state.revision;
                self.state.1.notify_all();
                Some((200, format!(r#"{{"modRevision":{revision}}}"#)))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

impl StoreState {
    fn change(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        match &value {
            Some(value) => drop(
                self.items
                    .insert(key.to_owned(), (self.revision, value.clone())),
            ),
            None => drop(self.items.remove(key)),
        }
        self.history.push((self.revision, key.to_owned(), value));
    }
}

// ---- workers ----

/// How a worker works; times in ms.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Time of a plain request, or from the start of work on a stream to its first event.
    pub first_ms: u64,
    /// Pause between two events; 0 for plain requests.
    pub pause_ms: u64,
    /// Number of the last event of a stream.
    pub events: u64,
    /// Whether streams have no length and end with their connection.
    pub is_unframed: bool,
}

/// Process of a worker. It is killed on drop, and it ends by itself when this program is gone, since its input ends then.
pub struct WorkerProcess(Child);

impl WorkerProcess {
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u128,
    pub slots: u32,
    pub pace: Arc<Mutex<Pace>>,
    /// Start, end and last event received of each run, by attempt: (id, start, end, whether it began after an event).
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Free slots; further requests wait in the queue.
    free: Arc<(Mutex<u32>, Condvar)>,
    beats: Arc<Mutex<bool>>,
    left: Arc<Mutex<bool>>,
    last_beat: Arc<Mutex<Instant>>,
    record: Record,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub after_event: Option<u64>,
}

impl Worker {
    pub fn start(record: &Record, id: &str, service: &str, slots: u32, pace: Pace) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            born,
            slots,
            pace: Arc::new(Mutex::new(pace)),
            runs: Arc::default(),
            free: Arc::new((Mutex::new(slots), Condvar::new())),
            beats: Arc::new(Mutex::new(true)),
            left: Arc::default(),
            last_beat: Arc::new(Mutex::new(Instant::now())),
            record: record.clone(),
        };
        let handle = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = handle.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Starts a worker in a process of its own; `kill` ends it as a crash does.
    pub fn spawn(
        record: &Record,
        id: &str,
        service: &str,
        slots: u32,
        pace: Pace,
    ) -> Option<(Self, WorkerProcess)> {
        let numbers = [
            pace.first_ms,
            pace.pause_ms,
            pace.events,
            u64::from(pace.is_unframed),
        ];
        let numbers = numbers.map(|number| number.to_string());
        let mut process = WorkerProcess(
            Command::new(std::env::current_exe().ok()?)
                .args(["worker", id, service])
                .args(numbers)
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()
                .ok()?,
        );
        let folder = std::env::var("CASE_TMP").unwrap_or_else(|_| ".".to_owned());
        fs::write(
            PathBuf::from(&folder).join(format!("worker-{id}.pid")),
            process.0.id().to_string(),
        )
        .ok()?;
        let mut lines = BufReader::new(process.0.stdout.take()?).lines();
        let address = lines.next()?.ok()?.parse().ok()?;
        let log = record.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| {
                log.add(line);
            })
        });
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
            slots,
            pace: Arc::new(Mutex::new(pace)),
            runs: Arc::default(),
            free: Arc::default(),
            beats: Arc::new(Mutex::new(true)),
            left: Arc::default(),
            last_beat: Arc::new(Mutex::new(Instant::now())),
            record: record.clone(),
        };
        Some((worker, process))
    }

    /// Stops the writes of the worker's entry, as after a crash, or lets them go on.
    pub fn set_beating(&self, is_beating: bool) {
        *self.beats.lock().unwrap() = is_beating;
    }

    fn has_left(&self) -> bool {
        *self.left.lock().unwrap()
    }

    pub fn entry(&self, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":{},"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.slots, self.born
        )
    }

    /// Writes the worker's entry every 1.2 s.
    pub fn beat(&self, store: &Store) {
        store.put(&format!("servers/{}", self.id), &self.entry(1));
        let (worker, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1200));
                let beats = worker.beats.lock().unwrap();
                if worker.has_left() {
                    return;
                }
                if !*beats {
                    continue;
                }
                store.put(&format!("servers/{}", worker.id), &worker.entry(sequence));
                *worker.last_beat.lock().unwrap() = Instant::now();
            }
        });
    }

    /// Waits until the worker has written its entry as long ago as this.
    pub fn wait_after_beat(&self, ms: u64) {
        let time = || self.last_beat.lock().unwrap().elapsed();
        while time() > Duration::from_millis(ms) {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(Duration::from_millis(ms).saturating_sub(time()));
    }

    /// The worker leaves without reporting `draining`: its entry is removed. Returns the time of the confirmation.
    pub fn leave(&self, store: &Store) -> u64 {
        // Waits for a write that is under way.
        let _beats = self.beats.lock().unwrap();
        *self.left.lock().unwrap() = true;
        store.remove(&format!("servers/{}", self.id))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let id = request.id();
            let path = request.line.split(' ').nth(1).unwrap_or("").to_owned();
            if request
                .header("x-tanagerford-expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                self.record
                    .add(format!("{}: {id} expects another instance, 421", self.id));
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Tanagerford-Attempt-Id: {id}\r\nX-Tanagerford-Not-Executed: 1\r\n\
                     X-Tanagerford-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let mut free = self.free.0.lock().unwrap();
            while *free == 0 {
                free = self.free.1.wait(free).unwrap();
            }
            *free -= 1;
            drop(free);
            let after_event = request
                .header("last-event-id")
                .and_then(|text| text.parse().ok());
            let began_ms = self.record.add(match after_event {
                Some(after) => format!(
                    "{} ({}): begins to work on {id} {path}, going on after event {after}",
                    self.id, self.service
                ),
                None => format!(
                    "{} ({}): begins to work on {id} {path}",
                    self.id, self.service
                ),
            });
            let run = Run {
                id: id.clone(),
                path,
                began_ms,
                ended_ms: None,
                after_event,
            };
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(run);
                runs.len() - 1
            };
            let is_complete = self.run(&mut writer, &id, after_event).is_some();
            *self.free.0.lock().unwrap() += 1;
            self.free.1.notify_one();
            let how = if is_complete {
                "has answered"
            } else {
                "stops work, since its connection was closed, on"
            };
            let ended_ms = self.record.add(format!("{}: {how} {id}", self.id));
            self.runs.lock().unwrap()[index].ended_ms = Some(ended_ms);
            if !is_complete {
                return;
            }
        }
    }

    /// Works on a request; `None` if the caller has closed the connection meanwhile.
    fn run(&self, writer: &mut TcpStream, id: &str, after: Option<u64>) -> Option<()> {
        let pace = *self.pace.lock().unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Tanagerford-Attempt-Id: {id}\r\nX-Tanagerford-Response-Seal: seal-{id}\r\n"
        );
        work(writer, pace.first_ms)?;
        if pace.pause_ms == 0 {
            let body = format!("done {id}");
            let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            return writer.write_all(answer.as_bytes()).ok();
        }
        let framing = if pace.is_unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n");
        writer.write_all(head.as_bytes()).ok()?;
        let first = after.unwrap_or(0) + 1;
        for number in first..=pace.events {
            if number > first {
                // A change of the pace holds from the next event on.
                let pause_ms = self.pace.lock().unwrap().pause_ms;
                work(writer, pause_ms)?;
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let bytes = if pace.is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            writer.write_all(bytes.as_bytes()).ok()?;
            self.record
                .add(format!("{}: sends event {number} of {id}", self.id));
        }
        if pace.is_unframed {
            return writer.shutdown(std::net::Shutdown::Write).ok();
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }
}

/// Works for a time; `None` if the caller closes the connection meanwhile.
fn work(stream: &mut TcpStream, ms: u64) -> Option<()> {
    let end = Instant::now() + Duration::from_millis(ms);
    let is_open = loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break true;
        }
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match stream.peek(&mut [0; 1]) {
            Ok(0) => break false,
            Ok(_) => thread::sleep(Duration::from_millis(1)),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break false,
        }
    };
    stream.set_read_timeout(None).ok()?;
    is_open.then_some(())
}

// ---- entries ----

pub struct Entry {
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}

fn free_internal_port() -> u16 {
    loop {
        let port = free_port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Settings of a small deployment with the bounds of zpw-tanager.
fn settings(
    number: usize,
    store: SocketAddr,
    callers: u16,
    readiness: u16,
    internal: u16,
) -> String {
    format!(
        r#"node = "front-zone-a-{number}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
[limits]
cpuShare = 0.5
cores = 1
memoryMb = 182
maxFds = 2870
linkMbps = 700.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 108
recoveryS = 12
passMs = 120
reuseWindowS = 7.9
[provider]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"#
    )
}

impl Entry {
    /// Starts an entry with the command of the deploy file and waits until it is ready.
    pub fn start(record: &Record, number: usize, store: SocketAddr) -> Option<Self> {
        let folder = std::env::var("CASE_TMP").unwrap_or_else(|_| ".".to_owned());
        let (callers, readiness, internal) = (free_port(), free_port(), free_internal_port());
        let file = PathBuf::from(&folder).join(format!("local-{number}.toml"));
        fs::write(&file, settings(number, store, callers, readiness, internal)).ok()?;
        let log = File::create(PathBuf::from(&folder).join(format!("entry-{number}.log"))).ok()?;
        let child = Command::new("target/deploy/tanagerford")
            .arg("gateway")
            .env("TANAGERFORD_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        // The script ends the process by this id if this program is killed.
        fs::write(
            PathBuf::from(&folder).join(format!("entry-{number}.pid")),
            child.id().to_string(),
        )
        .ok()?;
        let entry = Self {
            child,
            callers: ([127, 0, 0, 1], callers).into(),
            readiness: ([127, 0, 0, 1], readiness).into(),
        };
        for _ in 0..200 {
            if entry.is_ready() {
                record.add(format!("entry {number} is ready"));
                return Some(entry);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(
            b"GET /tanagerford/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
        );
        sent.is_ok()
            && read_head(&mut BufReader::new(stream)).is_some_and(|head| head.status() == 200)
    }
}

// ---- consumers ----

/// Answer that a consumer has received.
pub struct Answer {
    pub status: u16,
    pub is_complete: bool,
    pub body: String,
}

/// Sends a request on a new connection and reads its answer.
pub fn call(
    entry: SocketAddr,
    record: &Record,
    method: &str,
    path: &str,
    id: &str,
    remaining_ms: u64,
    more: &str,
) -> Answer {
    call_with_patience(
        entry,
        record,
        method,
        path,
        id,
        remaining_ms,
        remaining_ms + 500,
        more,
    )
}

/// Sends a request like [`call`], and leaves when nothing has come for `patience_ms`.
#[allow(clippy::too_many_arguments)]
pub fn call_with_patience(
    entry: SocketAddr,
    record: &Record,
    method: &str,
    path: &str,
    id: &str,
    remaining_ms: u64,
    patience_ms: u64,
    more: &str,
) -> Answer {
    let failed = |body: &str| Answer {
        status: 0,
        is_complete: false,
        body: body.to_owned(),
    };
    record.add(format!("consumer: sends {id} {method} {path}"));
    let Ok(mut stream) = TcpStream::connect(entry) else {
        record.add(format!("consumer: {id} cannot connect"));
        return failed("no connection");
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(patience_ms)));
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Tanagerford-Attempt-Id: {id}\r\n\
         X-Tanagerford-Deadline-Remaining: {remaining_ms}\r\nX-Api-Key: key-a\r\n{more}{length}\r\n"
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return failed("write");
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else {
        drop(reader);
        record.add(format!("consumer: {id} gets no answer and leaves"));
        return failed("no answer");
    };
    let mut body = Vec::new();
    let is_complete = if head.header("transfer-encoding") == Some("chunked") {
        loop {
            match read_chunk(&mut reader) {
                Some(Some(chunk)) => body.extend(chunk),
                Some(None) => break true,
                None => break false,
            }
        }
    } else {
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        body = vec![0; length];
        reader.read_exact(&mut body).is_ok()
    };
    let answer = Answer {
        status: head.status(),
        is_complete,
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let end = if answer.is_complete {
        "complete"
    } else {
        "cut"
    };
    record.add(format!("consumer: {id} gets {} ({end})", answer.status));
    answer
}

/// Configuration with a pool of model workers and a pool of plain workers.
pub fn configuration() -> &'static str {
    r#"{"version":7,"routes":[
      {"name":"r-note","host":"shop.example","pathPrefix":"/note/","type":"streaming","timeoutMs":12000,"targetLatencyMs":300,"priority":0,
       "service":"lm-prepress","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":200},
      {"name":"r-check","host":"shop.example","pathPrefix":"/check/","type":"streaming","timeoutMs":4000,"targetLatencyMs":500,"priority":1,
       "service":"lm-prepress","maxAttempts":1,"public":false,"sticky":true,"canResume":false,"gapTargetMs":300},
      {"name":"r-burn","host":"shop.example","pathPrefix":"/burn/","type":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,
       "service":"plate-app","maxAttempts":1,"public":false,"sticky":false,"canResume":false}],
     "services":[
      {"name":"lm-prepress","healthPath":"/health","maxConnections":720,"protocol":"h1","tls":false,
       "engine":{"slots":64,"kvCapacityTokens":434830,"kvTokenBytes":35136,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":6,"most":12,
       "pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},
      {"name":"plate-app","healthPath":"/health","maxConnections":200,"protocol":"h1","tls":false}],
     "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
     "tenants":[{"name":"shop-a","apiKeys":["key-a"],"priority":0}]}"#
}

pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
