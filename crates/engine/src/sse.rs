//! Reader of server-sent events (WHATWG HTML, section 9.2) that keeps their raw bytes, so that they can be relayed
//! unchanged.

use std::io::{BufRead, BufReader, Read};

use crate::error::EngineError;
use crate::text::HasText;

/// Maximum size of an event; a larger one is a malformed response.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Data of the event that ends an OpenAI-style stream.
const DONE: &[u8] = b"[DONE]";

/// Reader that splits a byte stream into server-sent events.
#[derive(Debug)]
pub struct EventReader<R> {
    source: BufReader<R>,
}

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event as received, up to and including the empty line that ends it.
    pub raw: Vec<u8>,
    /// Concatenated values of the `data` lines. Unlike the specification, the reader puts no newlines between them.
    pub data: Vec<u8>,
}

impl Event {
    /// Returns whether this event ends the stream.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }

    /// Returns whether this event contains generated text; `false` if its data is not JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use tanagerford_engine::EventReader;
    ///
    /// let events = b"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n";
    /// let mut reader = EventReader::new(&events[..]);
    /// assert!(reader.read().unwrap().unwrap().has_text());
    /// assert!(!reader.read().unwrap().unwrap().has_text());
    /// ```
    #[must_use]
    pub fn has_text(&self) -> bool {
        serde_json::from_slice::<HasText>(&self.data).is_ok_and(|has_text| has_text.0)
    }
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of the events in `source`.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut reader = tanagerford_engine::EventReader::new(&b"data: hello\n\n"[..]);
    /// let event = reader.read().unwrap().unwrap();
    /// assert_eq!(event.data, b"hello");
    /// assert!(reader.read().unwrap().is_none());
    /// ```
    pub fn new(source: R) -> Self {
        Self {
            source: BufReader::new(source),
        }
    }

    /// Reads the next event; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`EngineError::Lost`] when the stream fails or ends inside an event, [`EngineError::Malformed`] when an event is
    /// too large.
    pub fn read(&mut self) -> Result<Option<Event>, EngineError> {
        let mut event = Event {
            raw: Vec::new(),
            data: Vec::new(),
        };
        loop {
            let start = event.raw.len();
            let remaining_bytes = (MAX_EVENT_BYTES - start) as u64;
            let read = (&mut self.source)
                .take(remaining_bytes)
                .read_until(b'\n', &mut event.raw);
            match read {
                Ok(0) if remaining_bytes == 0 => return Err(EngineError::Malformed),
                Ok(0) if start == 0 => return Ok(None),
                Ok(0) | Err(_) => return Err(EngineError::Lost),
                Ok(_) => {}
            }
            let line = event.raw[start..].trim_ascii_end();
            if line.is_empty() {
                if start == 0 {
                    event.raw.clear();
                    continue;
                }
                return Ok(Some(event));
            }
            if let Some(data) = line.strip_prefix(b"data:") {
                event.data.extend_from_slice(data.trim_ascii_start());
            }
        }
    }
}
