//! Publication of a configuration by an operator.

use std::fmt;
use std::thread;
use std::time::Duration;

use error_stack::Report;
use tanagerford_core::config::Configuration;
use tanagerford_core::config::check::check;
use tanagerford_core::config::document::MAX_DOCUMENT_BYTES;
use tanagerford_core::config::section::{SectionUpdate, Sections};
use tanagerford_core::generation::{
    CallResult, Head, PublishOutcome, PublishStep, Publisher, SwapResult, WriteId,
};
use tanagerford_core::ids::Generation;
use tanagerford_kv::kv::{Call, Commit, Compare, Kv, Revision, Transaction, Write};

use super::store::{self, DIGEST_KEY, HEAD_KEY, StoredConfiguration};

/// Configuration to publish.
#[derive(Debug, Clone, Copy)]
pub struct Publication<'a> {
    /// Stored configuration on which the new one is based. If the stored one has changed since, the publication fails.
    pub base: &'a StoredConfiguration,
    /// New configuration. Its generation is ignored and set by the publication.
    pub configuration: &'a Configuration,
    /// Unique number by which the write is recognized when its response is lost.
    pub write_id: WriteId,
    /// Generation that the new one must exceed, even if the stored one is lower because the key-value service was
    /// restored from a backup. 0 without such a loss.
    pub floor: Generation,
}

/// Timeout and retry pause of the calls of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishTiming {
    /// Timeout of each call to the key-value service.
    pub call_timeout: Duration,
    /// Pause after a call without a response.
    pub retry_pause: Duration,
}

impl Default for PublishTiming {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(5),
            retry_pause: Duration::from_millis(500),
        }
    }
}

/// Why a configuration was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// Another operator published first.
    Lost {
        /// Generation that the other operator published.
        winner: Generation,
    },
    /// The key-value service could not be reached or refused the call; nothing was changed.
    NotRun,
    /// The key-value service gave no response, so the configuration may or may not take effect.
    Unknown,
    /// The check of the configuration has findings.
    Faulty,
    /// The sections have more than [`MAX_DOCUMENT_BYTES`] bytes, too many for one transaction.
    TooLarge,
}

impl fmt::Display for PublishError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost { winner } => write!(
                formatter,
                "not applied: generation {winner} was published first and is kept"
            ),
            Self::NotRun => formatter
                .write_str("not applied: the key-value service could not be reached or refused"),
            Self::Unknown => formatter.write_str(
                "result unknown: the key-value service gave no answer; see config status",
            ),
            Self::Faulty => formatter.write_str("not applied: the configuration has findings"),
            Self::TooLarge => write!(
                formatter,
                "not applied: the configuration has more than {MAX_DOCUMENT_BYTES} bytes"
            ),
        }
    }
}

impl std::error::Error for PublishError {}

/// Publishes a configuration. Returns its generation once the write has certainly taken effect.
///
/// # Errors
///
/// Fails if the configuration is invalid, another operator published first, the key-value service refused the write, or
/// the result is still unknown after several calls.
pub fn publish(
    kv: &dyn Kv,
    publication: &Publication<'_>,
    timing: PublishTiming,
) -> Result<Generation, Report<PublishError>> {
    if !check(publication.configuration).is_empty() {
        return Err(Report::new(PublishError::Faulty));
    }
    let base = &publication.base;
    let mut publisher = Publisher::new(base.head.clone(), publication.write_id, publication.floor);
    let update = changed_sections(publication, publisher.generation())?;
    loop {
        let has_response = match publisher.step() {
            PublishStep::End(outcome) => return finish(outcome),
            PublishStep::ReadHead => {
                let read = store::read_head(kv, timing.call_timeout);
                let result = read.map_or(CallResult::Unknown, CallResult::Done);
                publisher.on_read(&result);
                result != CallResult::Unknown
            }
            PublishStep::Swap { expected, head } => {
                let transaction = transaction(expected, &head, &update);
                let result = swap_result(&kv.commit(&transaction, timing.call_timeout));
                publisher.on_swap(&result);
                matches!(result, CallResult::Done(_))
            }
        };
        let is_ended = matches!(publisher.step(), PublishStep::End(_));
        if !has_response && !is_ended {
            thread::sleep(timing.retry_pause);
        }
    }
}

fn finish(outcome: PublishOutcome) -> Result<Generation, Report<PublishError>> {
    match outcome {
        PublishOutcome::Applied(generation) => Ok(generation),
        PublishOutcome::Lost { winner } => Err(Report::new(PublishError::Lost { winner })),
        PublishOutcome::NotRun => Err(Report::new(PublishError::NotRun)),
        PublishOutcome::Unknown => Err(Report::new(PublishError::Unknown)),
    }
}

fn changed_sections(
    publication: &Publication<'_>,
    generation: Generation,
) -> Result<SectionUpdate, Report<PublishError>> {
    let configuration = Configuration {
        generation,
        ..publication.configuration.clone()
    };
    // A generation is skipped only after the key-value service lost data. Processes may then have sections that this
    // base does not have, so all sections are marked as changed and replace those of the processes.
    let is_next = generation == publication.base.head.head.generation + 1;
    let previous = publication.base.sections.as_ref().filter(|_| is_next);
    let sections = Sections::split(&configuration, previous);
    let all_sections = sections.changed_since(0).sections;
    let length: usize = all_sections.iter().map(|section| section.json.len()).sum();
    if length > MAX_DOCUMENT_BYTES {
        return Err(Report::new(PublishError::TooLarge).attach(length));
    }
    Ok(sections.changed_since(generation.saturating_sub(1)))
}

/// Returns the transaction that replaces the head, the digest and the changed sections if the head still has the
/// revision `expected`.
fn transaction(expected: Revision, head: &Head, update: &SectionUpdate) -> Transaction {
    let compare = Compare {
        key: HEAD_KEY.to_owned(),
        mod_revision: expected,
    };
    let digest = update.digest.to_string().into_bytes();
    let mut writes = vec![
        put(HEAD_KEY.to_owned(), store::encode_head(head)),
        put(DIGEST_KEY.to_owned(), digest),
    ];
    let sections = update.sections.iter();
    writes.extend(sections.map(|section| {
        put(
            store::section_key(section.name),
            store::encode_section(section),
        )
    }));
    Transaction {
        compares: vec![compare],
        writes,
    }
}

fn put(key: String, value: Vec<u8>) -> Write {
    Write::Put {
        key,
        value,
        lease: None,
    }
}

fn swap_result(call: &Call<Commit>) -> CallResult<SwapResult> {
    match call {
        Call::Done(Commit::Applied(_)) => CallResult::Done(SwapResult::Applied),
        Call::Done(Commit::Conflict) => CallResult::Done(SwapResult::Conflict),
        Call::Refused(_) => CallResult::Refused,
        Call::Unknown => CallResult::Unknown,
    }
}
