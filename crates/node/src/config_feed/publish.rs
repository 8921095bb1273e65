//! Publishes a configuration for operators.

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
use tanagerford_kv::kv::{Call, Commit, Compare, Kv, Transaction, Write};

use super::store::{self, DIGEST_KEY, HEAD_KEY, Stored};

/// Configuration to publish.
#[derive(Debug, Clone, Copy)]
pub struct Publication<'a> {
    /// Configuration that the new one was made from.
    pub base: &'a Stored,
    /// New configuration; its generation is set by publishing.
    pub configuration: &'a Configuration,
    /// Unique number of the write.
    pub write_id: WriteId,
    /// Generation that the new one must exceed even if the service holds less.
    pub floor: Generation,
}

/// Times of the calls of one publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Timeout of each call.
    pub timeout: Duration,
    /// Pause after a call without an answer.
    pub pause: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(5),
            pause: Duration::from_millis(500),
        }
    }
}

/// Why a configuration was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// Another operator's write won.
    Lost {
        /// Its generation.
        winner: Generation,
    },
    /// The service could not be asked; nothing was changed.
    NotRun,
    /// The service gave no answer; the configuration may take effect or not.
    Unknown,
    /// The configuration has findings.
    Faulty,
    /// The sections are too long for one transaction.
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

/// Publishes a configuration and returns its generation once the write is known to have taken effect.
///
/// # Errors
///
/// Fails if another write won, nothing was changed, or the result stays unknown after several calls.
pub fn publish(
    kv: &dyn Kv,
    publication: &Publication<'_>,
    pace: Pace,
) -> Result<Generation, Report<PublishError>> {
    if !check(publication.configuration).is_empty() {
        return Err(Report::new(PublishError::Faulty));
    }
    let base = &publication.base;
    let mut publisher = Publisher::new(base.head.clone(), publication.write_id, publication.floor);
    let update = changed_sections(publication, publisher.generation())?;
    loop {
        let is_answered = match publisher.step() {
            PublishStep::End(outcome) => return finish(outcome),
            PublishStep::ReadHead => {
                let read = store::read_head(kv, pace.timeout);
                let answer = read.map_or(CallResult::Unknown, CallResult::Done);
                publisher.on_read(&answer);
                answer != CallResult::Unknown
            }
            PublishStep::Swap { expected, head } => {
                let transaction = transaction(expected, &head, &update);
                let answer = swap(&kv.commit(&transaction, pace.timeout));
                publisher.on_swap(&answer);
                matches!(answer, CallResult::Done(_))
            }
        };
        let is_ended = matches!(publisher.step(), PublishStep::End(_));
        if !is_answered && !is_ended {
            thread::sleep(pace.pause);
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
    // A generation that skips some follows a loss of the service's data. Processes may then use sections that this base
    // does not have, so all sections are marked as changed and replace theirs.
    let is_next = generation == publication.base.head.head.generation + 1;
    let previous = publication.base.sections.as_ref().filter(|_| is_next);
    let sections = Sections::split(&configuration, previous);
    let whole = sections.changed_since(0).sections;
    let length: usize = whole.iter().map(|section| section.json.len()).sum();
    if length > MAX_DOCUMENT_BYTES {
        return Err(Report::new(PublishError::TooLarge).attach(length));
    }
    Ok(sections.changed_since(generation.saturating_sub(1)))
}

fn transaction(expected: u64, head: &Head, update: &SectionUpdate) -> Transaction {
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

fn swap(call: &Call<Commit>) -> CallResult<SwapResult> {
    match call {
        Call::Done(Commit::Applied(_)) => CallResult::Done(SwapResult::Applied),
        Call::Done(Commit::Conflict) => CallResult::Done(SwapResult::Conflict),
        Call::Refused(_) => CallResult::Refused,
        Call::Unknown => CallResult::Unknown,
    }
}
