//! Failed requests by cause.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::record::Record;
use super::story::{cause, is_end};

/// Examples that are kept of each cause.
const MAX_EXAMPLES: usize = 5;
/// Requests whose first lines are kept until their end is read. The oldest are dropped beyond it, so memory stays bounded
/// on logs without ends.
const MAX_OPEN: usize = 50_000;

/// Which requests are listed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Filter {
    /// Earliest time, in seconds.
    pub since_s: Option<f64>,
    /// Server that was tried.
    pub server: Option<String>,
    /// Workspace of the caller.
    pub workspace: Option<String>,
}

/// Counts of failed requests.
#[derive(Debug, Default)]
pub struct Failures {
    filter: Filter,
    /// Lines of requests whose end was not read yet, by request, with the order of their first line.
    open: BTreeMap<String, (u64, Vec<Record>)>,
    /// Requests in the order of their first lines.
    order: BTreeMap<u64, String>,
    next: u64,
    causes: BTreeMap<String, (u64, Vec<String>)>,
    ended: u64,
}

impl Failures {
    /// Creates an empty list.
    #[must_use]
    pub fn new(filter: Filter) -> Self {
        Self {
            filter,
            ..Self::default()
        }
    }

    /// Takes a line of any process.
    pub fn add(&mut self, record: Record) {
        let Some(request) = record.request().map(str::to_owned) else {
            return;
        };
        let has_ended = is_end(&record);
        let next = self.next;
        let (number, lines) = self.open.entry(request.clone()).or_insert_with(|| {
            self.order.insert(next, request.clone());
            (next, Vec::new())
        });
        self.next = next + 1;
        lines.push(record);
        if has_ended {
            let number = *number;
            self.order.remove(&number);
            if let Some((_, lines)) = self.open.remove(&request) {
                self.end(request, &lines);
            }
        } else if self.open.len() > MAX_OPEN
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.open.remove(&oldest);
        }
    }

    fn end(&mut self, request: String, lines: &[Record]) {
        let Some(last) = lines.last() else {
            return;
        };
        let is_wanted = |name: &str, wanted: &Option<String>| {
            let Some(wanted) = wanted else {
                return true;
            };
            lines.iter().any(|line| line.text(name) == Some(wanted))
        };
        let is_recent = self
            .filter
            .since_s
            .is_none_or(|since| last.at_s.is_none_or(|at| at >= since));
        if !is_recent
            || !is_wanted("server", &self.filter.server)
            || !is_wanted("workspace", &self.filter.workspace)
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

    /// Returns whether any request failed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.causes.is_empty()
    }

    /// Returns the list for people, most frequent causes first.
    #[must_use]
    pub fn text(&self) -> String {
        let mut lines = vec![format!("{} requests ended", self.ended)];
        for (cause, count, examples) in self.sorted() {
            lines.push(format!("{count:>8}  {cause:<24} {}", examples.join(" ")));
        }
        lines.join("\n")
    }

    /// Returns the list for tools.
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
