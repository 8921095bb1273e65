//! One attempt at a sidecar, from its submission to its end.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use tanagerford_core::ids::AttemptId;
use tanagerford_core::order::OrderKey;
use tanagerford_engine::CancelHandle;
use tanagerford_link::Link;
use tanagerford_link::message::{self, Outcome, Submit, frame};
use tanagerford_sync::lock;

/// One attempt. It may run several times when it is preempted and resumed.
pub(crate) struct Work {
    /// Number of the work in this sidecar; attempt ids are unique on their link only.
    pub(crate) id: AttemptId,
    pub(crate) link: Link,
    pub(crate) submit: Submit,
    pub(crate) received_at: Instant,
    progress: Mutex<Progress>,
}

/// Stage of the work's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    /// Waits for its first run or for another one after a preemption.
    #[default]
    Waiting,
    /// Is at the backend server.
    Running,
    /// Was cancelled; no run begins any more.
    Cancelled,
    /// The entry was told the end.
    Ended,
}

/// What was sent to the entry so far, and by which run.
#[derive(Debug, Default)]
struct Progress {
    /// Number of the current run; frames of earlier runs are dropped.
    run: u64,
    chunks: u64,
    tokens: u32,
    head_sent: bool,
    /// Whether the work may have reached the backend server.
    handed_over: bool,
    stage: Stage,
    cancel: Option<CancelHandle>,
    /// What is known about crashes that the work may have caused; sent with its end.
    suspicion: Vec<u8>,
}

/// Right of one run to send frames; it ends when the work is preempted, cancelled or finished.
pub(crate) struct Run<'work> {
    work: &'work Work,
    number: u64,
}

/// Why a run may not send any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Superseded;

impl Work {
    pub(crate) fn new(id: AttemptId, link: Link, submit: Submit) -> Self {
        Self {
            id,
            link,
            submit,
            received_at: Instant::now(),
            progress: Mutex::default(),
        }
    }

    /// Returns the key of an order; `None` for calls that may be repeated.
    pub(crate) fn order_key(&self) -> Option<OrderKey> {
        OrderKey::from_bytes(&self.submit.order_key)
    }

    /// Returns whether the call may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.submit.order_key.is_empty()
    }

    /// Returns the time left until the work must have started.
    pub(crate) fn wait_left(&self) -> Duration {
        let limit = Duration::from_millis(self.submit.wait_limit_ms.into());
        limit.saturating_sub(self.received_at.elapsed())
    }

    /// Returns the time left until the caller's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        let limit = Duration::from_millis(self.submit.deadline_ms.into());
        limit.saturating_sub(self.received_at.elapsed())
    }

    /// Returns the tokens that the entry has, those of earlier attempts included.
    pub(crate) fn delivered_tokens(&self) -> u32 {
        self.submit.resume_tokens + lock(&self.progress).tokens
    }

    /// Begins a run that `cancel` interrupts; `None` when the work was cancelled before.
    pub(crate) fn begin_run(&self, cancel: Option<CancelHandle>) -> Option<Run<'_>> {
        let mut progress = lock(&self.progress);
        if progress.stage != Stage::Waiting {
            return None;
        }
        progress.run += 1;
        progress.stage = Stage::Running;
        progress.cancel = cancel;
        Some(Run {
            work: self,
            number: progress.run,
        })
    }

    /// Returns whether the work is at the backend server.
    pub(crate) fn is_running(&self) -> bool {
        lock(&self.progress).stage == Stage::Running
    }

    /// Interrupts the current run; a later run goes on where it stopped.
    pub(crate) fn interrupt(&self) {
        let cancel = {
            let mut progress = lock(&self.progress);
            progress.run += 1;
            if progress.stage == Stage::Running {
                progress.stage = Stage::Waiting;
            }
            progress.cancel.take()
        };
        if let Some(cancel) = cancel {
            cancel.cancel();
        }
    }

    /// Interrupts the current run and lets no other begin. Returns the tokens that were sent in vain.
    pub(crate) fn cancel(&self) -> u32 {
        self.interrupt();
        let mut progress = lock(&self.progress);
        progress.stage = Stage::Cancelled;
        progress.tokens
    }

    /// Refuses the work. Work that may have reached the backend server is ended as preempted instead, because a refusal
    /// proves that nothing ran.
    pub(crate) fn refuse(&self, refusal: message::Refused) {
        let mut progress = lock(&self.progress);
        if progress.stage == Stage::Ended {
            return;
        }
        if progress.handed_over {
            self.send_finish(&progress, Outcome::Preempted, &refusal.detail, refusal.load);
        } else {
            let attempt_id = self.submit.attempt_id;
            self.send(frame::Body::Refused(message::Refused {
                attempt_id,
                ..refusal
            }));
        }
        progress.stage = Stage::Ended;
    }

    /// Ends the work from outside of its runs.
    pub(crate) fn end(&self, outcome: Outcome, detail: &str, load: Option<message::Load>) {
        let mut progress = lock(&self.progress);
        if progress.stage != Stage::Ended {
            self.send_finish(&progress, outcome, detail, load);
            progress.stage = Stage::Ended;
        }
    }

    fn send_finish(
        &self,
        progress: &Progress,
        outcome: Outcome,
        detail: &str,
        load: Option<message::Load>,
    ) {
        self.send(frame::Body::Finish(message::Finish {
            attempt_id: self.submit.attempt_id,
            chunks: progress.chunks,
            outcome: outcome.into(),
            detail: detail.to_owned(),
            load,
            resumable: self.submit.resumable,
            suspicion: progress.suspicion.clone(),
        }));
    }

    /// Sends a message to the entry. A lost link is noticed by its reader.
    fn send(&self, body: frame::Body) {
        let _ = self.link.send(body);
    }
}

impl Run<'_> {
    /// Tells the entry that the work is handed to the backend server.
    pub(crate) fn accept(&self) -> Result<(), Superseded> {
        self.sending(|progress| {
            progress.handed_over = true;
            self.work.send(frame::Body::Accepted(message::Accepted {
                attempt_id: self.work.submit.attempt_id,
            }));
        })
    }

    /// Sends status and headers, unless an earlier run did.
    pub(crate) fn send_head(
        &self,
        status: u16,
        headers: Vec<message::Header>,
    ) -> Result<(), Superseded> {
        self.sending(|progress| {
            if !progress.head_sent {
                progress.head_sent = true;
                self.work.send(frame::Body::Head(message::Head {
                    attempt_id: self.work.submit.attempt_id,
                    status: status.into(),
                    headers,
                }));
            }
        })
    }

    /// Sends a part of the body.
    pub(crate) fn send_chunk(&self, data: Vec<u8>, tokens: u32) -> Result<(), Superseded> {
        self.sending(|progress| {
            self.work.send(frame::Body::Chunk(message::Chunk {
                attempt_id: self.work.submit.attempt_id,
                sequence: progress.chunks,
                data,
                tokens,
            }));
            progress.chunks += 1;
            progress.tokens += tokens;
        })
    }

    /// Sends what is known about crashes that the work may have caused with its end.
    pub(crate) fn set_suspicion(&self, suspicion: Vec<u8>) {
        lock(&self.work.progress).suspicion = suspicion;
    }

    /// Ends the work.
    pub(crate) fn finish(
        &self,
        outcome: Outcome,
        detail: &str,
        load: Option<message::Load>,
    ) -> Result<(), Superseded> {
        self.sending(|progress| {
            self.work.send_finish(progress, outcome, detail, load);
            progress.stage = Stage::Ended;
        })
    }

    /// Takes back that the work was handed over: the backend server provably did not get it.
    pub(crate) fn retract(&self) -> Result<(), Superseded> {
        self.sending(|progress| {
            progress.handed_over = false;
            progress.stage = Stage::Waiting;
        })
    }

    /// Refuses the work, which certainly did not run.
    pub(crate) fn refuse(&self, refusal: message::Refused) -> Result<(), Superseded> {
        self.retract()?;
        self.work.refuse(refusal);
        Ok(())
    }

    fn sending(&self, send: impl FnOnce(&mut Progress)) -> Result<(), Superseded> {
        let mut progress = lock(&self.work.progress);
        if progress.run != self.number || progress.stage == Stage::Ended {
            return Err(Superseded);
        }
        send(&mut progress);
        Ok(())
    }
}
