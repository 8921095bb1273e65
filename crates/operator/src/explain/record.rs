//! Parsed lines of logs.

use serde_json::{Map, Value};

/// Log line of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Time in seconds from the prefix, else the seconds since midnight of the timestamp; `None` without either. Only
    /// times of the same set of logs are comparable.
    pub at_s: Option<f64>,
    /// Name of the VM from the prefix, if it has one.
    pub vm: Option<String>,
    /// Value of the JSON field `message`.
    pub message: String,
    fields: Map<String, Value>,
}

/// Parses a line. Log collectors may write a prefix before the JSON object: its first number is the time in seconds,
/// its first word of two or more characters with a letter is the name of the VM. Returns `None` if the line has no JSON
/// object with a message.
///
/// # Examples
///
/// ```
/// use tanagerford_operator::explain::parse;
///
/// let line = r#"  12.345 s front-a-1 {"level":"INFO","message":"refused","request":"id-1"}"#;
/// let record = parse(line).unwrap();
/// assert_eq!((record.at_s, record.vm.as_deref()), (Some(12.345), Some("front-a-1")));
/// assert_eq!(record.text("request"), Some("id-1"));
/// ```
#[must_use]
pub fn parse(line: &str) -> Option<Record> {
    let start = line.find('{')?;
    let (prefix, json) = line.split_at(start);
    let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let message = fields.remove("message")?.as_str()?.to_owned();
    let words = || {
        prefix
            .split(|c: char| c.is_whitespace() || c == '|' || c == ':')
            .map(|word| word.trim_matches(|c: char| "[](),".contains(c)))
            .filter(|word| !word.is_empty())
    };
    let mut numbers = words().filter_map(|word| word.trim_end_matches('s').parse().ok());
    let is_name = |word: &&str| word.len() > 1 && word.chars().any(char::is_alphabetic);
    let vm = words().find(is_name).map(str::to_owned);
    let timestamp = fields.remove("timestamp");
    let seconds = || {
        let text = timestamp.as_ref().and_then(Value::as_str);
        text.and_then(seconds_since_midnight)
    };
    Some(Record {
        at_s: numbers.next().or_else(seconds),
        vm,
        message,
        fields,
    })
}

/// Returns the seconds since midnight of an RFC 3339 timestamp.
fn seconds_since_midnight(timestamp: &str) -> Option<f64> {
    let (_, time) = timestamp.split_once('T')?;
    let time = time.split(['Z', '+', '-']).next()?;
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

impl Record {
    /// Returns the value of a field; `None` if it is absent or not a string.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of a numeric field. Logs contain 128-bit integers as strings.
    pub(super) fn number(&self, name: &str) -> Option<f64> {
        let value = self.fields.get(name)?;
        value.as_f64().or_else(|| value.as_str()?.parse().ok())
    }

    pub(super) fn boolean(&self, name: &str) -> Option<bool> {
        self.fields.get(name)?.as_bool()
    }

    /// Returns the id of the request that the line is about; `None` if it is absent or empty.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        self.text("request").filter(|id| !id.is_empty())
    }

    /// Returns all fields except the timestamp and the message.
    #[must_use]
    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }

    /// Formats the time and the VM of the line, as far as they are known.
    pub(super) fn time_and_vm(&self) -> String {
        let time = self.at_s.map(|at_s| format!("{at_s:.3} s"));
        let parts = [time, self.vm.clone()].into_iter().flatten();
        parts.collect::<Vec<_>>().join(" ")
    }
}
