//! Processor of an entry: what concerns the entry is run one after the other, each for its time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::load::Processors;

/// Kinds of work by the time that they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// Reading a request and answering it.
    Request,
    /// Choosing a server and sending a call there.
    Send,
    /// A part of an answer, a timer or a closed connection.
    Event,
    /// A message of another entry.
    Message,
}

/// Processor with the work that waits for it. Without a share it takes no time.
#[derive(Debug)]
pub(crate) struct Processor<E> {
    times: Option<(f64, Processors)>,
    busy_until: Duration,
    waiting: VecDeque<E>,
}

impl<E> Processor<E> {
    /// Creates the processor of the entry at a position of its availability zone.
    pub(crate) fn new(processors: Option<&Processors>, position: usize) -> Self {
        let times = processors.and_then(|processors| {
            let share = processors.shares.iter().cycle().nth(position)?;
            Some((*share, processors.clone()))
        });
        Self {
            times,
            busy_until: Duration::ZERO,
            waiting: VecDeque::new(),
        }
    }

    /// Returns whether work takes time here.
    pub(crate) fn takes_time(&self) -> bool {
        self.times.is_some()
    }

    /// Returns the work if it can run now; otherwise it waits behind what came before.
    pub(crate) fn offer(&mut self, now: Duration, work: E) -> Option<E> {
        if self.busy_until <= now && self.waiting.is_empty() {
            return Some(work);
        }
        self.waiting.push_back(work);
        None
    }

    /// Returns the next work if the processor is free.
    pub(crate) fn next(&mut self, now: Duration) -> Option<E> {
        if self.busy_until > now {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Takes the time for work; returns when the processor is free again, or `None` if work takes no time.
    pub(crate) fn run(&mut self, now: Duration, work: Work) -> Option<Duration> {
        let (share, times) = self.times.as_ref()?;
        let micros = match work {
            Work::Request => times.request_us,
            Work::Send => times.send_us,
            Work::Event => times.event_us,
            Work::Message => times.message_us,
        };
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(micros / share / 1e6);
        Some(self.busy_until)
    }
}
