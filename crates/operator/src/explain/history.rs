//! Outcome of one request and the reasons for it.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::record::Record;

/// Upper bound on the lines that are kept of the request; usually it has a handful.
const MAX_LINES: usize = 200;

/// Log lines that are needed to explain one request.
#[derive(Debug, Default)]
pub struct RequestHistory {
    request: String,
    lines: Vec<Record>,
    /// Latest change of the configuration by VM; lines after the end of the request are ignored.
    configurations: BTreeMap<String, Record>,
    /// Latest line about the key-value service by VM.
    key_value_services: BTreeMap<String, Record>,
    /// Latest line about a server by VM and name of the server.
    servers: BTreeMap<(String, String), Record>,
    has_ended: bool,
}

/// Outcome of a request and the reasons for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// Id of the request, as its caller or its entry chose it.
    pub request: String,
    /// Short name of what ended the request, such as `no_room`; [`Failures`](super::Failures) counts requests under it.
    pub cause: String,
    /// One sentence that describes the end of the request.
    pub summary: String,
    /// One sentence for each line that explains the outcome: room on the servers, configuration, attempts, and what was
    /// last known of the servers.
    pub reasons: Vec<String>,
    /// Lines of the request in the order of their times, at most 200.
    pub lines: Vec<Record>,
}

/// Returns whether a line is the last one of its request.
pub(super) fn is_end(record: &Record) -> bool {
    matches!(
        record.message.as_str(),
        "refused"
            | "answered"
            | "stream ended"
            | "answer is cut"
            | "caller left"
            | "request dropped"
            | "request panicked"
    )
}

impl RequestHistory {
    /// Creates an empty history of the request with this id.
    #[must_use]
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            ..Self::default()
        }
    }

    /// Adds a line of any process. Lines that do not help to explain the request are dropped.
    pub fn add(&mut self, record: Record) {
        if record.request() == Some(&self.request) {
            self.has_ended |= is_end(&record);
            if self.lines.len() < MAX_LINES {
                self.lines.push(record);
            }
            return;
        }
        if self.has_ended || record.request().is_some() {
            return;
        }
        let vm = record.vm.clone().unwrap_or_default();
        match record.message.as_str() {
            "configuration in force" => drop(self.configurations.insert(vm, record)),
            "store does not answer" | "store answers again" => {
                self.key_value_services.insert(vm, record);
            }
            _ => {
                if let Some(server) = record.text("server").map(str::to_owned) {
                    self.servers.insert((vm, server), record);
                }
            }
        }
    }

    /// Returns the explanation; `None` if no line is about the request.
    #[must_use]
    pub fn explain(mut self) -> Option<Explanation> {
        // Sorts the lines of several processes by time; lines without a time keep their order.
        self.lines.sort_by(|a, b| {
            let times = a.at_s.zip(b.at_s);
            times.map_or(std::cmp::Ordering::Equal, |(a, b)| a.total_cmp(&b))
        });
        let end = self.lines.iter().rfind(|line| is_end(line));
        let last = end.or(self.lines.last())?.clone();
        let cause = cause(&last, &self.lines);
        let mut reasons = self.reasons(&last);
        let attempts = self.lines.iter().filter(|line| line.message == "attempt");
        reasons.extend(attempts.map(describe_attempt));
        reasons.extend(self.server_changes());
        Some(Explanation {
            summary: summarize(&last),
            request: self.request,
            cause,
            reasons,
            lines: self.lines,
        })
    }

    fn reasons(&self, last: &Record) -> Vec<String> {
        let mut reasons = Vec::new();
        let vm = last.vm.clone().unwrap_or_default();
        let no_room = self
            .lines
            .iter()
            .find(|line| line.message == "no room for a long prompt");
        reasons.extend(no_room.map(describe_lack_of_room));
        let depends_on_configuration = matches!(
            last.text("reason"),
            Some("unknown_key" | "no_route" | "no_configuration")
        );
        if depends_on_configuration {
            reasons.push(match self.configurations.get(&vm) {
                Some(change) => format!(
                    "version {} of the configuration was in force at this entry since {}",
                    format_field(change, "version"),
                    change.time_and_vm()
                ),
                None => "no change of the configuration of this entry is in the logs".to_owned(),
            });
            if let Some(change) = self.key_value_services.get(&vm)
                && change.message == "store does not answer"
            {
                reasons.push(format!(
                    "the store did not answer since {}",
                    change.time_and_vm()
                ));
            }
        }
        reasons
    }

    /// Describes the latest line about each server that the request was sent to, from the log of the entry that sent
    /// it.
    fn server_changes(&self) -> Vec<String> {
        let mut seen = Vec::new();
        let mut changes = Vec::new();
        for line in self.lines.iter().filter(|line| line.message == "attempt") {
            let key = (
                line.vm.clone().unwrap_or_default(),
                line.text("server").unwrap_or_default().to_owned(),
            );
            if seen.contains(&key) {
                continue;
            }
            if let Some(change) = self.servers.get(&key) {
                changes.push(format!(
                    "last known of {}: {} ({})",
                    key.1,
                    change.message,
                    change.time_and_vm()
                ));
            }
            seen.push(key);
        }
        changes
    }
}

/// Returns the short name of what ended a request.
pub(super) fn cause(last: &Record, lines: &[Record]) -> String {
    let has_message = |message: &str| lines.iter().any(|line| line.message == message);
    let has_outcome = |name: &str| {
        let mut attempts = lines.iter().filter(|line| line.message == "attempt");
        attempts.any(|line| line.text("outcome") == Some(name))
    };
    match last.message.as_str() {
        "refused" => match last.text("reason").unwrap_or("unknown") {
            "overloaded" if has_message("no room for a long prompt") => "no_room".to_owned(),
            "overloaded" if has_outcome("not_run") => "servers_full".to_owned(),
            "server_failed" if has_outcome("silent") => "server_silent".to_owned(),
            "server_failed" if has_outcome("broken") => "connection_broke".to_owned(),
            reason => reason.to_owned(),
        },
        "stream ended" => match last.text("outcome") {
            Some("answered") if is_late(last) => "answered_late".to_owned(),
            Some("answered") => "answered".to_owned(),
            Some(outcome) => outcome.to_owned(),
            None => "unknown".to_owned(),
        },
        "answered" if last.number("status").unwrap_or(200.0) >= 500.0 => {
            "server_reported_failure".to_owned()
        }
        "answered" if is_late(last) => "answered_late".to_owned(),
        "answered" => "answered".to_owned(),
        "answer is cut" => "answer_cut".to_owned(),
        "caller left" if !lines.iter().any(|line| line.message == "attempt") => {
            "caller_left_waiting".to_owned()
        }
        "caller left" => "caller_left".to_owned(),
        "request dropped" => "dropped".to_owned(),
        "request panicked" => "panicked".to_owned(),
        _ => "unfinished".to_owned(),
    }
}

/// Returns whether the first event or the whole answer missed its objective, or a stream paused longer than its limit.
fn is_late(last: &Record) -> bool {
    let first = last.number("first_event_ms").or(last.number("total_ms"));
    let exceeds = |value: Option<f64>, limit: &str| {
        value
            .zip(last.number(limit))
            .is_some_and(|(value, limit)| value > limit)
    };
    exceeds(first, "objective_ms") || exceeds(last.number("longest_pause_ms"), "pause_limit_ms")
}

/// Formats a field for people, numbers with one decimal place at most.
fn format_field(record: &Record, name: &str) -> String {
    record.fields().get(name).map_or_else(
        || "unknown".to_owned(),
        |value| match value {
            Value::String(text) => text.clone(),
            Value::Number(number) => number.as_f64().map_or_else(
                || number.to_string(),
                |float| format!("{}", (float * 10.0).round() / 10.0),
            ),
            other => other.to_string(),
        },
    )
}

/// Describes the end of a request in one sentence.
fn summarize(last: &Record) -> String {
    let field = |name| format_field(last, name);
    match last.message.as_str() {
        "refused" => {
            let execution = if last.boolean("not_run") == Some(true) {
                "it has not run"
            } else {
                "it may have run"
            };
            let text = match last.text("reason").unwrap_or_default() {
                "no_configuration" => "the entry knew no configuration yet",
                "no_route" => "no route of the configuration matches its host and path",
                "unknown_key" => "the configuration holds no such key",
                "malformed" => "the request is malformed",
                "too_large" => "its body is larger than the limit",
                "slow_body" => "its body did not arrive in time",
                "no_server" => "no server of its pool was known or reachable",
                "overloaded" => "no server could take it",
                "stream_version_unknown" => {
                    "it resumes a stream, and no entry knew the version at which the stream began"
                }
                "stream_version_gone" => {
                    "it resumes a stream, and no server of the version that began the stream was left"
                }
                "server_limit" => {
                    "all servers of its pool limited their requests and none had room in time"
                }
                "servers_at_rest" => {
                    "the servers of its pool asked for a rest and none was back in time"
                }
                "servers_withheld" => {
                    "other entries did not know yet of the version that its pool's servers run"
                }
                "entry_busy" => "the entry was short of processor time",
                "quarantined" => "requests with the same content crashed servers",
                "quarantined_part" => {
                    "servers crashed that answered requests with a part of its prompt"
                }
                "expired" => "its time was up before it was sent to a server",
                "server_failed" => "a server failed after the request was sent",
                "timed_out" => "its time was up while a server was working on it",
                _ => "the reason is not known to this program",
            };
            let part = last
                .text("part")
                .map_or_else(String::new, |part| format!(" (part {part})"));
            format!(
                "refused by the entry after {} ms ({}): {text}{part}; {execution}",
                field("after_ms"),
                field("reason")
            )
        }
        "answered" => format!(
            "answered by {} with status {} after {} ms (objective {} ms)",
            field("server"),
            field("status"),
            field("total_ms"),
            field("objective_ms")
        ),
        "stream ended" => {
            let end = match last.text("outcome") {
                Some("answered") => "complete",
                Some("cut_expired" | "cut: Expired") => "cut when the time was up",
                Some("cut_silent" | "cut: Silent") => "cut after its server stopped sending",
                Some("cut_broken" | "cut: Broken") => "cut when the connection to its server broke",
                _ => "ended in an unknown way",
            };
            format!(
                "stream of {}, {end}: first event after {} ms (objective {} ms), longest pause {} ms (limit {} ms), last event {}, {} ms in all",
                field("server"),
                field("first_event_ms"),
                field("objective_ms"),
                field("longest_pause_ms"),
                field("pause_limit_ms"),
                field("last_event"),
                field("total_ms")
            )
        }
        "answer is cut" => format!(
            "the answer of {} was cut ({})",
            field("server"),
            field("reason")
        ),
        "caller left" => format!(
            "the caller closed its connection after {} ms; it had said that it would wait {} ms",
            field("after_ms"),
            field("patience_ms")
        ),
        "request dropped" => format!(
            "a fault of the entry: it ended the request after {} ms without an answer or a refusal",
            field("after_ms")
        ),
        "request panicked" => format!(
            "a fault of the entry: it panicked after {} ms while it handled the request ({})",
            field("after_ms"),
            field("panic")
        ),
        _ => "the logs do not contain the end of this request".to_owned(),
    }
}

fn describe_lack_of_room(line: &Record) -> String {
    let field = |name| format_field(line, name);
    format!(
        "even the best server, {}, had {} prompt tokens waiting and {} calls: the first token was expected after {} ms, and {} running streams would have paused too long",
        field("server"),
        field("waiting_tokens"),
        field("in_flight"),
        field("first_token_ms"),
        field("harmed_streams")
    )
}

fn describe_attempt(line: &Record) -> String {
    let field = |name| format_field(line, name);
    let outcome = match line.text("outcome").unwrap_or_default() {
        "answered" => "began to answer",
        "failed" => "reported a failure of its own",
        "not_run" => "stated that it did not run the request",
        "broken" => "broke the connection or sent no usable answer",
        "silent" => "sent nothing in time",
        "unreachable" => "could not be reached",
        "abandoned" => {
            let (server, after) = (field("server"), field("after_ms"));
            return format!(
                "{server} had not begun to answer after {after} ms, when the caller left"
            );
        }
        _ => "ended in an unknown way",
    };
    format!(
        "attempt {} at {} {outcome} after {} ms; chosen among {} with {} calls and {} prompt tokens ahead, first token expected after {} ms",
        field("sends"),
        field("server"),
        field("after_ms"),
        field("candidates"),
        field("in_flight"),
        field("waiting_tokens"),
        field("first_token_ms")
    )
}

impl Explanation {
    /// Formats the explanation as text: the summary, the cause, the reasons and the lines.
    #[must_use]
    pub fn text(&self) -> String {
        let mut lines = vec![
            format!("{}: {}", self.request, self.summary),
            format!("cause: {}", self.cause),
        ];
        lines.extend(self.reasons.iter().map(|reason| format!("  {reason}")));
        lines.push("lines:".to_owned());
        for line in &self.lines {
            let fields = line.fields().iter();
            let shown =
                fields.filter(|(name, _)| !["request", "level", "target"].contains(&name.as_str()));
            let shown: Vec<String> = shown
                .map(|(name, _)| format!("{name}={}", format_field(line, name)))
                .collect();
            lines.push(format!(
                "  {} {}: {}",
                line.time_and_vm(),
                line.message,
                shown.join(" ")
            ));
        }
        lines.join("\n")
    }

    /// Returns the explanation as a JSON object with the fields `request`, `cause`, `summary`, `reasons` and `lines`.
    #[must_use]
    pub fn json(&self) -> Value {
        let lines = self.lines.iter().map(|line| {
            json!({
                "at_s": line.at_s, "vm": line.vm, "message": line.message, "fields": line.fields()
            })
        });
        json!({
            "request": self.request, "cause": self.cause, "summary": self.summary,
            "reasons": self.reasons, "lines": lines.collect::<Vec<_>>()
        })
    }
}
