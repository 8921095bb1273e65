//! Splits a stream of server-sent events into complete events.

use bytes::{Buf, Bytes, BytesMut};

/// Size limit of a buffered incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Reason why a stream of events cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An incomplete event exceeds 256 KiB.
    TooLong,
    /// A line of the event is neither a comment nor a field, as in the text of an error.
    Malformed,
    /// At least one event is missing: the number of an event does not follow its predecessor's.
    Gap {
        /// Number of the last event before the gap.
        after: u64,
        /// Number of the event after the gap.
        found: u64,
    },
}

/// Relation of an event to the events before it.
enum Accepted {
    New { last_id: Option<u64> },
    Duplicate,
}

/// Collects complete events, so that a stream that breaks within an event can resume at another server.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after the event `last_id`. With `None`, the first event may have
    /// any number.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the number of the last complete event that carried one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the incomplete event before the stream resumes at another server.
    pub(crate) fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes and returns the events that are complete with them. Events whose number is not larger than that of
    /// the last one are duplicates and are dropped. Events without a number are always returned.
    ///
    /// # Errors
    ///
    /// Returns an [`EventError`] when an event is missing, malformed or too long. Events before it in the same bytes are
    /// returned first; the next call returns the error.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_gateway::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// let complete = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")?;
    /// assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(1));
    /// # Ok::<(), tanagerford_gateway::events::EventError>(())
    /// ```
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            match self.accept(&self.buffer[..end]) {
                Ok(Accepted::New { last_id }) => {
                    self.last_id = last_id;
                    complete.extend_from_slice(&self.buffer.split_to(end));
                }
                Ok(Accepted::Duplicate) => self.buffer.advance(end),
                Err(_) if !complete.is_empty() => return Ok(complete.freeze()),
                Err(error) => return Err(error),
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(complete.freeze())
    }

    /// Compares the number of an event with that of the last one.
    fn accept(&self, event: &[u8]) -> Result<Accepted, EventError> {
        if !event.split(|byte| *byte == b'\n').all(is_event_line) {
            return Err(EventError::Malformed);
        }
        let Some(found) = event_id(event) else {
            return Ok(Accepted::New {
                last_id: self.last_id,
            });
        };
        match self.last_id {
            Some(after) if found <= after => Ok(Accepted::Duplicate),
            Some(after) if found != after + 1 => Err(EventError::Gap { after, found }),
            _ => Ok(Accepted::New {
                last_id: Some(found),
            }),
        }
    }
}

/// Returns the length of the first complete event, including its empty line.
fn event_end(data: &[u8]) -> Option<usize> {
    let terminators: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
    let ends = terminators.iter().filter_map(|terminator| {
        let mut windows = data.windows(terminator.len());
        let position = windows.position(|window| window == *terminator)?;
        Some(position + terminator.len())
    });
    ends.min()
}

/// Returns whether a line is empty, a comment, or a field with a name of lower-case letters and dashes.
fn is_event_line(line: &[u8]) -> bool {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return line.is_empty();
    };
    let mut name = line[..colon].iter();
    name.all(|byte| byte.is_ascii_lowercase() || *byte == b'-')
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
