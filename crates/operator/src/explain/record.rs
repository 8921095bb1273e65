//! One line of a log.

use serde_json::{Map, Value};

/// Line of a log: when and where it was written, and what it says.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Time in seconds, if the line or its prefix tells it; of equal origin within one set of logs only.
    pub at_s: Option<f64>,
    /// Name of the VM, if a prefix tells it.
    pub vm: Option<String>,
    /// Message.
    pub message: String,
    fields: Map<String, Value>,
}

/// Reads a line. Text before the JSON object is a prefix of whoever collected the logs: its first number is the time in
/// seconds, its first word that is no number the VM. `None` when the line holds no JSON object with a message.
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
    let stamp = fields.remove("timestamp");
    let from_stamp = || stamp.as_ref().and_then(Value::as_str).and_then(day_seconds);
    Some(Record {
        at_s: numbers.next().or_else(from_stamp),
        vm,
        message,
        fields,
    })
}

/// Returns the seconds since midnight of an RFC 3339 timestamp.
fn day_seconds(stamp: &str) -> Option<f64> {
    let (_, time) = stamp.split_once('T')?;
    let time = time.split(['Z', '+', '-']).next()?;
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

impl Record {
    /// Returns a field that is a text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that is a number; 128-bit numbers are written as texts.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<f64> {
        let value = self.fields.get(name)?;
        value.as_f64().or_else(|| value.as_str()?.parse().ok())
    }

    /// Returns a field that is true or false.
    #[must_use]
    pub fn flag(&self, name: &str) -> Option<bool> {
        self.fields.get(name)?.as_bool()
    }

    /// Returns the request that the line is about.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        self.text("request").filter(|id| !id.is_empty())
    }

    /// Returns all fields but the time and the message.
    #[must_use]
    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }

    /// Returns where and when the line was written, for people.
    #[must_use]
    pub fn place(&self) -> String {
        let time = self.at_s.map(|at_s| format!("{at_s:.3} s"));
        let parts = [time, self.vm.clone()].into_iter().flatten();
        parts.collect::<Vec<_>>().join(" ")
    }
}
