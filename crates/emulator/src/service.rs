//! Server of a plain service: a fixed number of slots and a bounded queue.

use std::collections::VecDeque;

use tanagerford_core::dispatch::ReportedLoad;

use crate::engine::RequestNumber;
use crate::load::ServicePool;

/// Emulated server of a plain service. The caller of its methods keeps the time.
#[derive(Debug)]
pub struct PlainServer {
    spec: ServicePool,
    running: Vec<RequestNumber>,
    waiting: VecDeque<RequestNumber>,
}

impl PlainServer {
    /// Creates a server without requests.
    #[must_use]
    pub fn new(spec: &ServicePool) -> Self {
        Self {
            spec: spec.clone(),
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Submits a request. Returns `Some(true)` if it starts at once, `Some(false)` if it is queued, and `None` if the
    /// queue is full and the server refuses it.
    pub fn submit(&mut self, number: RequestNumber) -> Option<bool> {
        if self.running.len() < self.spec.slots {
            self.running.push(number);
            return Some(true);
        }
        if self.waiting.len() >= self.spec.queue {
            return None;
        }
        self.waiting.push_back(number);
        Some(false)
    }

    /// Removes a running or queued request. Returns the queued request that starts in the freed slot.
    pub fn end(&mut self, number: RequestNumber) -> Option<RequestNumber> {
        self.waiting.retain(|waiting| *waiting != number);
        let index = self.running.iter().position(|running| *running == number)?;
        self.running.swap_remove(index);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Returns the load that the server reports in its responses.
    #[must_use]
    pub fn load(&self) -> ReportedLoad {
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        ReportedLoad {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            ..ReportedLoad::default()
        }
    }
}
