//! Failed requests by cause.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::history::{cause, is_end};
use super::record::Record;

/// Upper bound on the requests that are kept as examples of a cause.
const MAX_EXAMPLES: usize = 5;
/// Upper bound on the requests whose lines are kept until their end is read. Beyond it the oldest are dropped, so that
/// memory stays bounded on logs in which requests never end.
const MAX_OPEN_REQUESTS: usize = 50_000;

/// Conditions on the requests that are counted; an absent one holds for every request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Filter {
    /// Earliest time of the last line, in seconds; a last line without a time satisfies it.
    pub since_s: Option<f64>,
    /// Server that a line of the request names.
    pub server: Option<String>,
    /// Workspace that a line of the request names.
    pub workspace: Option<String>,
}

/// Counts of failed and late requests by cause, with examples.
#[derive(Debug, Default)]
pub struct Failures {
    filter: Filter,
    /// Lines of the requests whose end has not been read, by request id, with the number of the first line.
    open: BTreeMap<String, (u64, Vec<Record>)>,
    /// Ids of these requests by the number of their first line.
    by_first_line: BTreeMap<u64, String>,
    next_line: u64,
    causes: BTreeMap<String, (u64, Vec<String>)>,
    ended: u64,
}

impl Failures {
    /// Creates empty counts of the requests that satisfy `filter`.
    #[must_use]
    pub fn new(filter: Filter) -> Self {
        Self {
            filter,
            ..Self::default()
        }
    }

    /// Adds a line of any process; lines without a request id are ignored.
    pub fn add(&mut self, record: Record) {
        let Some(request) = record.request().map(str::to_owned) else {
            return;
        };
        let has_ended = is_end(&record);
        let next_line = self.next_line;
        let (number, lines) = self.open.entry(request.clone()).or_insert_with(|| {
            self.by_first_line.insert(next_line, request.clone());
            (next_line, Vec::new())
        });
        self.next_line = next_line + 1;
        lines.push(record);
        if has_ended {
            let number = *number;
            self.by_first_line.remove(&number);
            if let Some((_, lines)) = self.open.remove(&request) {
                self.count(request, &lines);
            }
        } else if self.open.len() > MAX_OPEN_REQUESTS
            && let Some((_, oldest)) = self.by_first_line.pop_first()
        {
            self.open.remove(&oldest);
        }
    }

    /// Counts an ended request if it satisfies the filter.
    fn count(&mut self, request: String, lines: &[Record]) {
        let Some(last) = lines.last() else {
            return;
        };
        let has_value = |field: &str, expected: &Option<String>| {
            let Some(expected) = expected else {
                return true;
            };
            lines.iter().any(|line| line.text(field) == Some(expected))
        };
        let is_recent = self
            .filter
            .since_s
            .is_none_or(|since| last.at_s.is_none_or(|at| at >= since));
        if !is_recent
            || !has_value("server", &self.filter.server)
            || !has_value("workspace", &self.filter.workspace)
        {
            return;
        }
        self.ended += 1;
        let cause = cause(last, lines);
        if cause == "answered" {
            return;
        }
        let (count, examples) = self.causes.entry(cause).or_default();
        *count += 1;
        if examples.len() < MAX_EXAMPLES {
            examples.push(request);
        }
    }

    /// Returns whether no failed or late request has been counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.causes.is_empty()
    }

    /// Formats the counts as text, the most frequent cause first.
    #[must_use]
    pub fn text(&self) -> String {
        let mut lines = vec![format!("{} requests ended", self.ended)];
        for (cause, count, examples) in self.sorted() {
            lines.push(format!("{count:>8}  {cause:<24} {}", examples.join(" ")));
        }
        lines.join("\n")
    }

    /// Returns the counts as a JSON object with the fields `ended` and `causes`, the most frequent cause first.
    #[must_use]
    pub fn json(&self) -> Value {
        let causes = self.sorted().into_iter().map(|(cause, count, examples)| {
            json!({ "cause": cause, "count": count, "examples": examples })
        });
        json!({ "ended": self.ended, "causes": causes.collect::<Vec<_>>() })
    }

    fn sorted(&self) -> Vec<(&str, u64, &[String])> {
        let causes = self.causes.iter();
        let mut causes: Vec<_> = causes
            .map(|(cause, (count, examples))| (cause.as_str(), *count, examples.as_slice()))
            .collect();
        causes.sort_by_key(|(_, count, _)| std::cmp::Reverse(*count));
        causes
    }
}
