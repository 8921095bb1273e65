//! JSON reader that reports all errors of a document instead of stopping at the first one.
//!
//! [`Node`] is a document tree that retains duplicate fields. [`Cursor`] and [`Fields`] read typed values from it and
//! report each missing, unknown, duplicate or mistyped field by its JSON pointer.

use std::collections::BTreeSet;
use std::fmt;

use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use super::finding::{Finding, Findings, Location, quote};

/// Maximum length of a document, in bytes. A complete configuration must fit in one frame between processes (1 MiB) and
/// in one transaction of the key-value service (1.5 MiB by default); at full size it has less than 400 KB.
pub const MAX_DOCUMENT_BYTES: usize = 900_000;

/// JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Node {
    /// The literal `null`.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// Non-negative integer that fits in 64 bits.
    Integer(u64),
    /// Any other number.
    Number(f64),
    /// String.
    Text(String),
    /// Array.
    List(Vec<Node>),
    /// Object with its fields in the order of the text, including duplicates.
    Object(Vec<(String, Node)>),
}

impl Node {
    /// Parses a document of at most [`MAX_DOCUMENT_BYTES`].
    ///
    /// # Errors
    ///
    /// Returns a finding with the line of the first syntax error, or for a document that is too long or nested more
    /// than 128 levels deep.
    ///
    /// ```
    /// use tanagerford_core::config::document::Node;
    ///
    /// assert_eq!(Node::parse(b"[1]").unwrap(), Node::List(vec![Node::Integer(1)]));
    /// assert!(Node::parse(b"[1").is_err());
    /// ```
    pub fn parse(text: &[u8]) -> Result<Self, Finding> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(Finding {
                location: Location::File,
                expected: format!("at most {MAX_DOCUMENT_BYTES} bytes"),
                found: format!("{} bytes", text.len()),
            });
        }
        serde_json::from_slice(text).map_err(|error| Finding {
            location: Location::Line(u64::try_from(error.line()).unwrap_or(u64::MAX)),
            expected: "a JSON document".to_owned(),
            found: error.to_string(),
        })
    }

    fn describe(&self) -> String {
        match self {
            Self::Null => "null".to_owned(),
            Self::Bool(value) => value.to_string(),
            Self::Integer(value) => value.to_string(),
            Self::Number(value) => value.to_string(),
            Self::Text(value) => quote(value),
            Self::List(_) => "an array".to_owned(),
            Self::Object(_) => "an object".to_owned(),
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Integer(value))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "negative numbers are only printed in findings"
    )]
    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(u64::try_from(value).map_or(Node::Number(value as f64), Node::Integer))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_string<E>(self, value: String) -> Result<Node, E> {
        Ok(Node::Text(value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = sequence.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(Node::Object(fields))
    }
}

/// Position in a document, together with the findings so far.
#[derive(Debug)]
pub struct Cursor<'a> {
    pointer: String,
    node: &'a Node,
    findings: &'a mut Findings,
}

/// Fields of an object, read by name; fields that were not read are reported as unknown at the end.
#[derive(Debug)]
pub struct Fields<'a> {
    pointer: String,
    entries: &'a [(String, Node)],
    read_names: Vec<&'static str>,
    findings: &'a mut Findings,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor at the root of a document.
    ///
    /// ```
    /// use tanagerford_core::config::document::{Cursor, Node};
    /// use tanagerford_core::config::finding::Findings;
    ///
    /// let node = Node::parse(br#"{"name": 1, "extra": 2}"#).unwrap();
    /// let mut findings = Findings::default();
    /// let name = Cursor::root(&node, &mut findings).object(|fields| fields.text("name"));
    /// assert_eq!(name, Some(None));
    /// let pointers: Vec<_> = findings.list().iter().map(|f| f.location.to_string()).collect();
    /// assert_eq!(pointers, ["/name", "/extra"]);
    /// ```
    pub fn root(node: &'a Node, findings: &'a mut Findings) -> Self {
        Self {
            pointer: String::new(),
            node,
            findings,
        }
    }

    /// Reads an object with `read`, which must read all known fields, and reports all others as unknown.
    pub fn object<T>(self, read: impl FnOnce(&mut Fields<'_>) -> T) -> Option<T> {
        let Node::Object(entries) = self.node else {
            return self.expected("an object");
        };
        let mut fields = Fields {
            pointer: self.pointer,
            entries,
            read_names: Vec::new(),
            findings: self.findings,
        };
        let value = read(&mut fields);
        fields.finish();
        Some(value)
    }

    /// Reads a string, or reports any other value.
    #[must_use]
    pub fn text(self) -> Option<String> {
        match self.node {
            Node::Text(text) => Some(text.clone()),
            _ => self.expected("a string"),
        }
    }

    /// Reads a non-negative integer, or reports one that does not fit in `T` and any other value.
    #[must_use]
    pub fn integer<T: TryFrom<u64>>(self) -> Option<T> {
        let Node::Integer(value) = self.node else {
            return self.expected("an integer of at least 0");
        };
        match T::try_from(*value) {
            Ok(value) => Some(value),
            Err(_) => self.expected("a smaller integer"),
        }
    }

    /// Reads a Boolean, or reports any other value.
    #[must_use]
    pub fn boolean(self) -> Option<bool> {
        match self.node {
            Node::Bool(value) => Some(*value),
            _ => self.expected("true or false"),
        }
    }

    /// Reads an array; unreadable items are `None`, so that the positions of the others do not change.
    pub fn list<T>(self, mut read: impl FnMut(Cursor<'_>) -> Option<T>) -> Option<Vec<Option<T>>> {
        let Node::List(nodes) = self.node else {
            return self.expected("an array");
        };
        let (pointer, findings) = (self.pointer, self.findings);
        let items = nodes.iter().enumerate().map(|(position, node)| {
            read(Cursor {
                pointer: format!("{pointer}/{position}"),
                node,
                findings: &mut *findings,
            })
        });
        Some(items.collect())
    }

    /// Returns the string at this position, or `None` for any other value, without a finding.
    #[must_use]
    pub fn peek_text(&self) -> Option<&'a str> {
        match self.node {
            Node::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Reports an unexpected value and returns `None`. The finding contains `found` in place of the value.
    pub fn expected_instead<T>(
        self,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) -> Option<T> {
        self.findings.add_at(&self.pointer, expected, found);
        None
    }

    /// Reports an unexpected value and returns `None`. The finding contains the value.
    pub fn expected<T>(self, expected: impl Into<String>) -> Option<T> {
        let found = self.node.describe();
        self.findings.add_at(&self.pointer, expected, found);
        None
    }
}

impl Fields<'_> {
    /// Returns a cursor at a required field, or reports that the field is missing.
    pub fn field(&mut self, name: &'static str) -> Option<Cursor<'_>> {
        if self.position(name).is_none() {
            let expected = format!("the field \"{name}\"");
            self.findings.add_at(&self.pointer, expected, "none");
        }
        self.optional(name)
    }

    /// Returns a cursor at an optional field, or `None` if the field is absent.
    pub fn optional(&mut self, name: &'static str) -> Option<Cursor<'_>> {
        let position = self.position(name);
        self.read_names.push(name);
        Some(Cursor {
            pointer: format!("{}/{name}", self.pointer),
            node: &self.entries[position?].1,
            findings: self.findings,
        })
    }

    /// Returns whether the object has a field of this name. Does not mark the field as read.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.position(name).is_some()
    }

    /// Reads a required string field.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        self.field(name)?.text()
    }

    /// Reads a required field with a non-negative integer.
    pub fn integer<T: TryFrom<u64>>(&mut self, name: &'static str) -> Option<T> {
        self.field(name)?.integer()
    }

    /// Reads a required Boolean field.
    pub fn boolean(&mut self, name: &'static str) -> Option<bool> {
        self.field(name)?.boolean()
    }

    /// Reads an optional Boolean field; an absent one is `false`.
    pub(crate) fn optional_boolean(&mut self, name: &'static str) -> Option<bool> {
        match self.optional(name) {
            None => Some(false),
            Some(cursor) => cursor.boolean(),
        }
    }

    /// Reads a required field with an array of strings; `None` if any item is not a string.
    pub fn text_list(&mut self, name: &'static str) -> Option<Vec<String>> {
        let items = self.field(name)?.list(text_item)?;
        items.into_iter().collect()
    }

    /// Reports the whole object as unexpected and returns `None`.
    pub fn expected<T>(
        &mut self,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) -> Option<T> {
        self.findings.add_at(&self.pointer, expected, found);
        None
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|(field, _)| field == name)
    }

    /// Reports unknown and duplicate fields.
    fn finish(self) {
        let mut seen = BTreeSet::new();
        for (name, node) in self.entries {
            let pointer = format!("{}/{}", self.pointer, escape(name));
            if !seen.insert(name) {
                self.findings
                    .add_at(&pointer, "one field of this name", "a duplicate");
            } else if !self.read_names.iter().any(|known| known == name) {
                let known = self.read_names.join(", ");
                let found = node.describe();
                self.findings
                    .add_at(&pointer, format!("one of the fields {known}"), found);
            }
        }
    }
}

fn text_item(cursor: Cursor<'_>) -> Option<String> {
    cursor.text()
}

/// Escapes a field's name for a JSON pointer (RFC 6901).
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}
