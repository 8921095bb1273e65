//! Stand-ins of the platform for the cases of the second review: the store, backend servers and callers, and the entry as a
//! process of its own. They use the standard library only.

#![allow(dead_code, reason = "each case uses some of the helpers")]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which a connection of a stand-in may be silent before the stand-in gives it up.
const IO_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which an entry must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
const START_ATTEMPTS: u32 = 3;
/// API key of the only workspace.
pub const KEY: &str = "key-of-the-review";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(path)?);
        Ok(Arc::new(Self { file, began: Instant::now() }))
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("x-tanagerford-attempt-id").unwrap_or("-")
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before.
pub fn read_head(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    if line.is_empty() {
        return None;
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body piece by piece; `on_piece` gets each piece and may delay the next one. Returns whether the body is complete.
pub fn read_body(
    stream: &mut impl BufRead,
    head: &Message,
    is_request: bool,
    mut on_piece: impl FnMut(&[u8]),
) -> bool {
    let mut read_exactly = |stream: &mut dyn Read, mut left: usize| {
        let mut buffer = [0; 4096];
        while left > 0 {
            let length = left.min(buffer.len());
            match stream.read(&mut buffer[..length]) {
                Ok(0) | Err(_) => return false,
                Ok(length) => {
                    on_piece(&buffer[..length]);
                    left -= length;
                }
            }
        }
        true
    };
    if head.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).unwrap_or(0) == 0 {
                return false;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return false;
            };
            if length == 0 {
                return stream.read_line(&mut line).is_ok();
            }
            let mut end = String::new();
            if !read_exactly(stream, length) || stream.read_line(&mut end).unwrap_or(0) == 0 {
                return false;
            }
        }
    }
    match head.header("content-length").map(str::parse) {
        Some(Ok(length)) => read_exactly(stream, length),
        Some(Err(_)) => false,
        None if is_request => true,
        None => {
            let mut buffer = [0; 4096];
            loop {
                match stream.read(&mut buffer) {
                    Ok(0) => return true,
                    Ok(length) => on_piece(&buffer[..length]),
                    Err(_) => return false,
                }
            }
        }
    }
}

/// Reads a whole message.
pub fn read_message(stream: &mut impl BufRead, is_request: bool) -> Option<Message> {
    let mut message = read_head(stream)?;
    let mut body = Vec::new();
    let is_complete = read_body(stream, &message, is_request, |piece| body.extend_from_slice(piece));
    message.body = body;
    message.is_complete = is_complete;
    Some(message)
}

/// Accepts connections on a free loopback port, each in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(IO_TIMEOUT));
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Returns a loopback address whose port is free.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes in order; `None` for a removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    next_lease: u64,
    /// Number of times that the store came back from a copy; sent in each answer once it is above 0.
    era: u64,
    /// First revision that a watch may begin after.
    first_revision: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.history.push((revision, key.to_owned(), Some(value.clone())));
        self.items.insert(key.to_owned(), Item { value, revision, created });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    #[default]
    Open,
    /// Calls get no response.
    Silent,
    /// Calls end with a closed connection.
    Away,
    /// Responses are held up until the partition has healed; calls that are made meanwhile get none.
    Partitioned,
}

/// Way of one entry to the store.
#[derive(Debug, Default)]
pub struct StoreLink(Mutex<LinkState>);

impl StoreLink {
    fn state(&self) -> LinkState {
        *lock(&self.0)
    }

    pub fn silence(&self) {
        *lock(&self.0) = LinkState::Silent;
    }

    pub fn take_away(&self) {
        *lock(&self.0) = LinkState::Away;
    }

    pub fn partition(&self) {
        *lock(&self.0) = LinkState::Partitioned;
    }

    pub fn heal(&self) {
        *lock(&self.0) = LinkState::Open;
    }
}

/// Content of the store at some moment.
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The platform's store.
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = StoreState { revision: 10, next_lease: 1, ..StoreState::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = Arc::clone(&shared);
        let address = listen(move |stream| serve_store(&served, stream, &StoreLink::default()));
        Self { address, shared }
    }

    /// Returns another address of the same store, with the link that leads there.
    pub fn second_address(&self) -> (SocketAddr, Arc<StoreLink>) {
        let (shared, link) = (Arc::clone(&self.shared), Arc::<StoreLink>::default());
        let served = Arc::clone(&link);
        (listen(move |stream| serve_store(&shared, stream, &served)), link)
    }

    /// Returns a copy of the store's content, of which one can be made again.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.shared.0);
        StoreCopy { items: state.items.clone(), revision: state.revision }
    }

    /// Goes on from a copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = lock(&self.shared.0);
        state.items = copy.items;
        state.revision = copy.revision;
        state.first_revision = copy.revision;
        state.history.clear();
        state.era += 1;
        self.shared.1.notify_all();
    }

    /// Writes an item as the operator or a server; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        lock(&self.shared.0).put(key, value.as_bytes().to_vec());
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        lock(&self.shared.0).remove(key);
        self.shared.1.notify_all();
    }

    /// Returns the value of a key; an empty text if there is none.
    pub fn value(&self, key: &str) -> String {
        let state = lock(&self.shared.0);
        let item = state.items.get(key);
        item.map(|item| String::from_utf8_lossy(&item.value).into_owned()).unwrap_or_default()
    }

    /// Returns the number of keys with a prefix.
    pub fn contains(&self, prefix: &str) -> usize {
        let state = lock(&self.shared.0);
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }
}

fn serve_store(shared: &(Mutex<StoreState>, Condvar), stream: TcpStream, link: &StoreLink) {
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    let mut writer = stream;
    while let Some(request) = read_message(&mut reader, true) {
        let mut words = request.line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
            .collect();
        if link.state() == LinkState::Away {
            return;
        }
        if link.state() != LinkState::Open {
            // A connection on which a response is lost returns nothing further.
            break;
        }
        let (status, body) = answer_store(shared, method, path, &query, &request.body);
        while link.state() == LinkState::Partitioned {
            thread::sleep(Duration::from_millis(2));
        }
        match link.state() {
            LinkState::Away => return,
            LinkState::Silent => break,
            LinkState::Open | LinkState::Partitioned => {}
        }
        let era = match lock(&shared.0).era {
            0 => String::new(),
            era => format!("Store-Era: {era}\r\n"),
        };
        let answer = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
    // The other side finds out by its own timeout.
    let mut rest = [0; 1024];
    while reader.read(&mut rest).is_ok_and(|length| length > 0) {}
}

fn answer_store(
    shared: &(Mutex<StoreState>, Condvar),
    method: &str,
    path: &str,
    query: &HashMap<String, String>,
    body: &[u8],
) -> (u16, String) {
    let mut state = lock(&shared.0);
    let text = |name: &str| query.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
    let shown = |key: &str, item: &Item| {
        format!(
            r#"{{"key":{},"value":"{}","modRevision":{},"created":{},"lease":0}}"#,
            quoted(key), base64(&item.value), item.revision, item.created
        )
    };
    match (method, path.strip_prefix("/tanagerford/").unwrap_or("")) {
        ("GET", "kv-key") => match state.items.get(&text("key")) {
            Some(item) => (200, shown(&text("key"), item)),
            None => (404, "{}".to_owned()),
        },
        ("GET", "kv-range") => {
            let (prefix, after) = (text("pathPrefix"), text("after"));
            let items = state.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<_> = items.map(|(key, item)| shown(key, item)).collect();
            let revision = state.revision;
            (200, format!(r#"{{"items":[{}],"truncated":false,"asOf":{revision}}}"#, items.join(",")))
        }
        ("GET", "kv-watch") => {
            let (prefix, after) = (text("pathPrefix"), number("after"));
            let end = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
            loop {
                if after > state.revision || after < state.first_revision {
                    return (410, "{}".to_owned());
                }
                let news = state.history.iter();
                let news = news.filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                let events: Vec<_> = news
                    .map(|(revision, key, value)| match value {
                        Some(value) => {
                            let item = Item { value: value.clone(), revision: *revision, created: *revision };
                            shown(key, &item)
                        }
                        None => format!(r#"{{"key":{},"modRevision":{revision},"removed":true}}"#, quoted(key)),
                    })
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let revision = state.revision;
                    return (200, format!(r#"{{"events":[{}],"asOf":{revision}}}"#, events.join(",")));
                }
                let waited = shared.1.wait_timeout(state, left);
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
        ("POST", "kv-txn") => {
            let Some(document) = Json::parse(body) else {
                return (400, "{}".to_owned());
            };
            let rows = |name: &str| document.get(name).map_or(&[][..], Json::list);
            let is_met = rows("expect").iter().all(|row| {
                let key = row.get("key").map_or("", Json::text);
                let expected = row.get("modRevision").map_or(0, Json::whole);
                state.items.get(key).map_or(0, |item| item.revision) == expected
            });
            if !is_met {
                return (412, r#"{"items":[]}"#.to_owned());
            }
            let is_own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
            let puts = rows("puts").iter();
            let puts: Vec<_> = puts
                .map(|row| {
                    let key = row.get("key").map_or("", Json::text).to_owned();
                    (key, unbase64(row.get("value").map_or("", Json::text)))
                })
                .collect();
            let removed: Vec<_> = rows("remove").iter().map(|key| key.text().to_owned()).collect();
            if !puts.iter().map(|(key, _)| key).chain(&removed).all(|key| is_own(key)) {
                return (403, "{}".to_owned());
            }
            for (key, value) in puts {
                state.put(&key, value);
            }
            for key in removed {
                state.remove(&key);
            }
            shared.1.notify_all();
            (200, format!(r#"{{"modRevision":{}}}"#, state.revision))
        }
        ("POST", "kv-lease") => {
            state.next_lease += 1;
            (200, format!(r#"{{"lease":{},"ttlMs":10000}}"#, state.next_lease))
        }
        _ => (404, "{}".to_owned()),
    }
}

/// JSON value, as far as the bodies of the store's calls need it.
pub enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
    Other,
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text: Vec<char> = std::str::from_utf8(bytes).ok()?.chars().collect();
        let mut at = 0;
        Self::value(&text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(fields) => fields.iter().find(|(other, _)| other == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(values) = self { values } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn whole(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    fn skip_space(text: &[char], at: &mut usize) {
        while text.get(*at).is_some_and(|char| char.is_whitespace() || *char == ',' || *char == ':') {
            *at += 1;
        }
    }

    fn value(text: &[char], at: &mut usize) -> Option<Self> {
        Self::skip_space(text, at);
        match text.get(*at)? {
            '"' => {
                *at += 1;
                let mut value = String::new();
                loop {
                    let char = *text.get(*at)?;
                    *at += 1;
                    match char {
                        '"' => return Some(Self::Text(value)),
                        '\\' => {
                            value.push(*text.get(*at)?);
                            *at += 1;
                        }
                        char => value.push(char),
                    }
                }
            }
            '[' | '{' => {
                let is_list = text[*at] == '[';
                *at += 1;
                let (mut list, mut table) = (Vec::new(), Vec::new());
                loop {
                    Self::skip_space(text, at);
                    if matches!(text.get(*at)?, ']' | '}') {
                        *at += 1;
                        return Some(if is_list { Self::List(list) } else { Self::Table(table) });
                    }
                    let value = Self::value(text, at)?;
                    if is_list {
                        list.push(value);
                    } else {
                        let Self::Text(name) = value else { return None };
                        table.push((name, Self::value(text, at)?));
                    }
                }
            }
            _ => {
                let mut word = String::new();
                while let Some(char) = text.get(*at).filter(|char| !",]} \n".contains(**char)) {
                    word.push(*char);
                    *at += 1;
                }
                Some(word.parse().map_or(Self::Other, Self::Number))
            }
        }
    }
}

fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for char in text.chars() {
        if matches!(char, '"' | '\\') {
            quoted.push('\\');
        }
        quoted.push(char);
    }
    quoted + "\""
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        if let Some(byte) = code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let code = (bits >> (18 - 6 * index) & 63) as usize;
            text.push(if index > group.len() { '=' } else { char::from(BASE64[code]) });
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for char in text.bytes() {
        let Some(code) = BASE64.iter().position(|other| *other == char) else {
            break;
        };
        bits = bits << 6 | code as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}

/// One route of a configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub target_ms: u32,
    pub max_attempts: u32,
    pub can_resume: bool,
}

/// Returns a configuration with these routes of the host `app.example`, for callers with [`KEY`].
pub fn configuration(version: u32, routes: &[Route<'_>]) -> String {
    let mut shown = String::new();
    for (index, route) in routes.iter().enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let gap = if route.kind == "streaming" { r#","gapTargetMs":200,"sticky":true"# } else { "" };
        let _ = write!(
            shown,
            r#"{comma}{{"name":"r-{index}","host":"app.example","pathPrefix":"{}","type":"{}","timeoutMs":{},"targetLatencyMs":{},"priority":0,"service":"{}","maxAttempts":{},"public":false,"canResume":{}{gap}}}"#,
            route.prefix, route.kind, route.timeout_ms, route.target_ms, route.service, route.max_attempts, route.can_resume
        );
    }
    format!(
        r#"{{"version":{version},"routes":[{shown}],"services":[{{"name":"engines","healthPath":"/health","maxConnections":740,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacityTokens":302919,"stride":6}}}},{{"name":"desk","healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":15000}},"tenants":[{{"name":"harbour","apiKeys":["{KEY}"]}}]}}"#
    )
}

/// Returns the record of a backend server.
pub fn server_record(service: &str, address: SocketAddr, state: &str, slots: u32) -> String {
    versioned_record(service, address, state, slots, "v1")
}

/// Returns the record of a backend server whose software has this version.
pub fn versioned_record(service: &str, address: SocketAddr, state: &str, slots: u32, version: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"luzon-a","version":"{version}","slots":{slots},"state":"{state}","coldRemainingMs":0,"sequence":4}}"#
    )
}

/// Entry as a process of its own, started as the deploy file says. It is killed on drop.
pub struct Entry {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    process: Child,
    directory: PathBuf,
    settings: PathBuf,
}

impl Entry {
    /// Starts an entry in a temporary directory and waits until it is ready. Tries again with other ports, since another process
    /// may have taken one meanwhile.
    pub fn start(node: &str, store: SocketAddr) -> Option<Self> {
        (0..START_ATTEMPTS).find_map(|_| Self::try_start(node, store))
    }

    fn try_start(node: &str, store: SocketAddr) -> Option<Self> {
        let directory = std::env::temp_dir().join(format!("review-2-{}-{node}", std::process::id()));
        fs::create_dir_all(&directory).ok()?;
        let (callers, readiness, peers) = (free_address(), free_address(), free_address());
        let settings = directory.join("local.toml");
        fs::write(&settings, settings_text(node, store, callers, readiness, peers.port())).ok()?;
        let process = start_process(&directory, &settings).ok()?;
        let mut entry = Self { callers, readiness, process, directory, settings };
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end && matches!(entry.process.try_wait(), Ok(None)) {
            if entry.is_ready() {
                return Some(entry);
            }
            thread::sleep(Duration::from_millis(50));
        }
        eprintln!("the entry is not ready: {}", entry.log());
        None
    }

    /// Kills the process, which is started again after `pause`, no longer as the first start of the whole system.
    pub fn kill_and_restart(&mut self, pause: Duration) -> io::Result<()> {
        self.process.kill()?;
        self.process.wait()?;
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("bootstrap = true", "bootstrap = false"))?;
        thread::sleep(pause);
        self.process = start_process(&self.directory, &self.settings)?;
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /tanagerford/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(request.as_bytes());
        read_head(&mut BufReader::new(stream)).is_some_and(|head| head.status() == 200)
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.process.id()).expect("a process id");
        // SAFETY: the call has no memory arguments, and the process is a child that was not waited for.
        unsafe { kill(pid, signal) };
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log.json")).unwrap_or_default()
    }

    /// Waits until the process ends by itself; returns whether it did in time.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if matches!(self.process.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn start_process(directory: &Path, settings: &Path) -> io::Result<Child> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    let log = fs::OpenOptions::new().create(true).append(true).open(directory.join("log.json"))?;
    let mut command = Command::new("target/deploy/tanagerford");
    // The entry ends with the case, also if that is killed.
    // SAFETY: the call only sets an attribute of the new process and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .arg("gateway")
        .env("TANAGERFORD_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn settings_text(node: &str, store: SocketAddr, callers: SocketAddr, readiness: SocketAddr, peers: u16) -> String {
    format!(
        r#"node = "{node}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "luzon-a"
region = "ph-luzon"
internalPorts = [{peers},{peers}]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
luzon-a = "ph-luzon"
[listen]
front = "{callers}"
readiness = "{readiness}"
[limits]
cpuShare = 0.13
cores = 1
memoryMb = 96
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
retryBudgetExtra = 116
recoveryS = 12
passMs = 120
reuseWindowS = 6
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

/// Returns the text of a request.
pub fn request(method: &str, path: &str, id: &str, remaining_ms: u32, more: &str, body: &str) -> String {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Tanagerford-Attempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n\
         X-Tanagerford-Deadline-Remaining: {remaining_ms}\r\n{more}{length}\r\n{body}"
    )
}

/// Returns whether the other side has closed or reset a connection on which nothing is to be read.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
