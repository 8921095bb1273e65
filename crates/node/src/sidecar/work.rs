//! Work of a sidecar: one attempt of a call, from its submission to its end.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tanagerford_core::ids::AttemptId;
use tanagerford_core::order::OrderKey;
use tanagerford_engine::CancelHandle;
use tanagerford_link::message::{self, Outcome, Submit, frame};
use tanagerford_link::{Link, window_bytes};
use tanagerford_sync::lock;

/// Interval at which a run that waits for the entry checks the link and the deadline.
const WINDOW_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One attempt of a call. It has several runs if it is preempted and resumed.
pub(crate) struct Work {
    /// Number of the work, unique in this sidecar; attempt ids are unique only within their link.
    pub(crate) id: AttemptId,
    pub(crate) link: Link,
    pub(crate) submit: Submit,
    pub(crate) received_at: Instant,
    progress: Mutex<Progress>,
    /// Signalled when the entry has consumed a part of the body, and when the current run is interrupted.
    window_changed: Condvar,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    /// The work waits for its first run, or for the next one after a preemption.
    #[default]
    Waiting,
    /// The backend server processes the work.
    Running,
    /// The work was cancelled; no further run starts.
    Cancelled,
    /// The outcome or a refusal was sent to the entry.
    Ended,
}

/// Progress of the work and of its response, over all runs.
#[derive(Debug, Default)]
struct Progress {
    /// Number of the current run; the frames of earlier runs are dropped.
    run: u64,
    chunks: u64,
    tokens: u32,
    /// Bytes of the body that the entry has not reported as consumed.
    unconsumed_bytes: u64,
    /// Whether the entry needs no more of the body.
    is_discarded: bool,
    is_head_sent: bool,
    may_have_reached_backend: bool,
    stage: Stage,
    cancel: Option<CancelHandle>,
    /// Encoded record of the crashes that the work is suspected of; sent with its outcome.
    suspicion: Vec<u8>,
}

/// One run of the work. It may send frames until the work is preempted, cancelled or ended.
pub(crate) struct Run<'work> {
    work: &'work Work,
    number: u64,
}

/// Error of a run that must not send any more frames, because the work was preempted, cancelled or ended.
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
            window_changed: Condvar::new(),
        }
    }

    /// Returns the key of an order; `None` for calls that may be repeated and for malformed keys.
    pub(crate) fn order_key(&self) -> Option<OrderKey> {
        OrderKey::from_bytes(&self.submit.order_key)
    }

    /// Returns whether the call may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.submit.order_key.is_empty()
    }

    /// Returns the remaining time within which the work must start.
    pub(crate) fn remaining_wait(&self) -> Duration {
        let limit = Duration::from_millis(self.submit.wait_limit_ms.into());
        limit.saturating_sub(self.received_at.elapsed())
    }

    /// Returns the remaining time until the caller's deadline.
    pub(crate) fn remaining_time(&self) -> Duration {
        let limit = Duration::from_millis(self.submit.deadline_ms.into());
        limit.saturating_sub(self.received_at.elapsed())
    }

    /// Returns the number of tokens sent to the entry, including those of earlier attempts.
    pub(crate) fn delivered_tokens(&self) -> u32 {
        self.submit.resume_tokens + lock(&self.progress).tokens
    }

    /// Starts a run, which `cancel` can interrupt. Returns `None` unless the work is waiting.
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

    /// Returns whether the backend server is processing the work.
    pub(crate) fn is_running(&self) -> bool {
        lock(&self.progress).stage == Stage::Running
    }

    /// Interrupts the current run; the next run resumes after the tokens sent so far.
    pub(crate) fn interrupt(&self) {
        let cancel = {
            let mut progress = lock(&self.progress);
            progress.run += 1;
            if progress.stage == Stage::Running {
                progress.stage = Stage::Waiting;
            }
            progress.cancel.take()
        };
        self.window_changed.notify_all();
        if let Some(cancel) = cancel {
            cancel.cancel();
        }
    }

    /// Interrupts the current run and prevents further ones. Returns the number of tokens sent, which are wasted.
    pub(crate) fn cancel(&self) -> u32 {
        self.interrupt();
        let mut progress = lock(&self.progress);
        progress.stage = Stage::Cancelled;
        progress.tokens
    }

    /// Records that the entry has passed on `bytes` of the body; `u64::MAX` if it needs no more of it.
    pub(crate) fn on_consumed(&self, bytes: u64) {
        let mut progress = lock(&self.progress);
        progress.unconsumed_bytes = progress.unconsumed_bytes.saturating_sub(bytes);
        progress.is_discarded |= bytes == u64::MAX;
        drop(progress);
        self.window_changed.notify_all();
    }

    /// Returns whether the entry has to consume a part of the body before more of it is sent.
    fn is_window_full(&self, progress: &Progress) -> bool {
        let window_bytes = self.submit.window_bytes;
        window_bytes > 0
            && progress.unconsumed_bytes >= window_bytes
            && !progress.is_discarded
            && !self.link.is_lost()
            && !self.remaining_time().is_zero()
    }

    /// Refuses the work. Work that may have reached the backend server ends as preempted instead, because a refusal
    /// states that nothing ran.
    pub(crate) fn refuse(&self, refusal: message::Refused) {
        let mut progress = lock(&self.progress);
        if progress.stage == Stage::Ended {
            return;
        }
        if progress.may_have_reached_backend {
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

    /// Ends the work independently of its current run.
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

    /// Sends a message to the entry. A failure is ignored, because the reader of the link handles its loss.
    fn send(&self, body: frame::Body) {
        let _ = self.link.send(body);
    }
}

impl Run<'_> {
    /// Notifies the entry that the work is being sent to the backend server.
    pub(crate) fn accept(&self) -> Result<(), Superseded> {
        self.send_if_current(|progress| {
            progress.may_have_reached_backend = true;
            self.work.send(frame::Body::Accepted(message::Accepted {
                attempt_id: self.work.submit.attempt_id,
            }));
        })
    }

    /// Sends status and headers, unless an earlier run has sent them.
    pub(crate) fn send_head(
        &self,
        status: u16,
        headers: Vec<message::Header>,
    ) -> Result<(), Superseded> {
        self.send_if_current(|progress| {
            if !progress.is_head_sent {
                progress.is_head_sent = true;
                self.work.send(frame::Body::Head(message::Head {
                    attempt_id: self.work.submit.attempt_id,
                    status: status.into(),
                    headers,
                }));
            }
        })
    }

    /// Sends a chunk of the body that contains `tokens` tokens. Blocks while the caller reads too slowly, so that the answer of a
    /// fast server does not fill the memory.
    pub(crate) fn send_chunk(&self, data: Vec<u8>, tokens: u32) -> Result<(), Superseded> {
        self.wait_for_window();
        self.send_if_current(|progress| {
            if progress.is_discarded {
                return;
            }
            progress.unconsumed_bytes += window_bytes(&data);
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

    fn wait_for_window(&self) {
        let work = self.work;
        let mut progress = lock(&work.progress);
        while self.is_current(&progress) && work.is_window_full(&progress) {
            let waited = work
                .window_changed
                .wait_timeout(progress, WINDOW_POLL_INTERVAL);
            progress = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Sets the record of suspected crashes that is sent with the outcome.
    pub(crate) fn set_suspicion(&self, suspicion: Vec<u8>) {
        lock(&self.work.progress).suspicion = suspicion;
    }

    /// Sends the outcome and ends the work.
    pub(crate) fn finish(
        &self,
        outcome: Outcome,
        detail: &str,
        load: Option<message::Load>,
    ) -> Result<(), Superseded> {
        self.send_if_current(|progress| {
            self.work.send_finish(progress, outcome, detail, load);
            progress.stage = Stage::Ended;
        })
    }

    /// Records that the work certainly did not reach the backend server, and makes it wait again.
    pub(crate) fn mark_not_sent(&self) -> Result<(), Superseded> {
        self.send_if_current(|progress| {
            progress.may_have_reached_backend = false;
            progress.stage = Stage::Waiting;
        })
    }

    /// Refuses the work, which certainly did not reach the backend server.
    pub(crate) fn refuse(&self, refusal: message::Refused) -> Result<(), Superseded> {
        self.mark_not_sent()?;
        self.work.refuse(refusal);
        Ok(())
    }

    /// Calls `send` if this is still the current run.
    fn send_if_current(&self, send: impl FnOnce(&mut Progress)) -> Result<(), Superseded> {
        let mut progress = lock(&self.work.progress);
        if !self.is_current(&progress) {
            return Err(Superseded);
        }
        send(&mut progress);
        Ok(())
    }

    fn is_current(&self, progress: &Progress) -> bool {
        progress.run == self.number && progress.stage != Stage::Ended
    }
}
