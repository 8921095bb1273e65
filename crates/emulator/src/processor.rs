//! Processor of an entry: a FIFO queue with a service time for each kind of work.

use std::collections::VecDeque;
use std::time::Duration;

use crate::load::Processors;

/// Kind of work; each has its own processor time in the load file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// Receiving a request and sending its response.
    Request,
    /// Choosing a server and sending a call to it.
    Send,
    /// A chunk of a response, a timer or a closed connection.
    Event,
    /// A message to or from another entry.
    Message,
}

/// Processor of one entry with its queue. If the load file has no `processors`, work takes no time.
#[derive(Debug)]
pub(crate) struct Processor<E> {
    /// Share of a core and the times of a whole core.
    times: Option<(f64, Processors)>,
    busy_until: Duration,
    queue: VecDeque<E>,
}

impl<E> Processor<E> {
    /// Creates the processor of the entry at `position` within its availability zone.
    pub(crate) fn new(processors: Option<&Processors>, position: usize) -> Self {
        let times = processors.map(|processors| (processors.share(position), processors.clone()));
        Self {
            times,
            busy_until: Duration::ZERO,
            queue: VecDeque::new(),
        }
    }

    /// Returns whether the load file limits the processor.
    pub(crate) fn is_limited(&self) -> bool {
        self.times.is_some()
    }

    /// Returns the work if it can run now; otherwise appends it to the queue.
    pub(crate) fn admit_or_queue(&mut self, now: Duration, work: E) -> Option<E> {
        if self.busy_until <= now && self.queue.is_empty() {
            return Some(work);
        }
        self.queue.push_back(work);
        None
    }

    /// Removes and returns the oldest queued work if the processor is free.
    pub(crate) fn pop_ready(&mut self, now: Duration) -> Option<E> {
        if self.busy_until > now {
            return None;
        }
        self.queue.pop_front()
    }

    /// Occupies the processor for the time of `work`. Returns when it is free again, or `None` if work takes no time.
    pub(crate) fn occupy(&mut self, now: Duration, work: WorkKind) -> Option<Duration> {
        let (share, times) = self.times.as_ref()?;
        let micros = match work {
            WorkKind::Request => times.request_us,
            WorkKind::Send => times.send_us,
            WorkKind::Event => times.event_us,
            WorkKind::Message => times.message_us,
        };
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(micros / share / 1e6);
        Some(self.busy_until)
    }
}
