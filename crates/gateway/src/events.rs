//! Splits a stream of server-sent events at their ends.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream of events is unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than the limit.
    TooLong,
    /// An event is missing: its number is not the next one.
    Gap {
        /// Number of the last event before.
        after: u64,
        /// Number of the event that came.
        found: u64,
    },
}

/// Collects complete events, so that a stream that breaks off within an event can go on at another server.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after the event `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the number of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether bytes of an incomplete event are held.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the incomplete event before the stream goes on at another server.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes and returns the complete events; an event that was passed on before is left out.
    ///
    /// # Errors
    ///
    /// [`EventError`] when an event is missing or too long.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_gateway::events::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// let whole = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda")?;
    /// assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
    /// assert_eq!(splitter.last_id(), Some(1));
    /// # Ok::<(), tanagerford_gateway::events::EventError>(())
    /// ```
    pub fn push(&mut self, data: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end);
            if self.accept(&event)? {
                complete.extend_from_slice(&event);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        Ok(complete.freeze())
    }

    fn accept(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(found) = event_id(event) else {
            return Ok(true);
        };
        if let Some(after) = self.last_id {
            if found <= after {
                return Ok(false);
            }
            if found != after + 1 {
                return Err(EventError::Gap { after, found });
            }
        }
        self.last_id = Some(found);
        Ok(true)
    }
}

/// Returns the length of the first complete event, its empty line included.
fn event_end(data: &[u8]) -> Option<usize> {
    let ends: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
    let positions = ends.iter().filter_map(|end| {
        let found = data.windows(end.len()).position(|window| window == *end);
        found.map(|position| position + end.len())
    });
    positions.min()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
