//! Server of a plain service: slots and a short queue.

use std::collections::VecDeque;

use tanagerford_core::dispatch::ReportedLoad;

use crate::engine::RequestNumber;
use crate::load::ServicePool;

/// Emulated server of a plain service.
#[derive(Debug)]
pub struct PlainServer {
    spec: ServicePool,
    running: Vec<RequestNumber>,
    waiting: VecDeque<RequestNumber>,
}

impl PlainServer {
    /// Creates an idle server.
    #[must_use]
    pub fn new(spec: &ServicePool) -> Self {
        Self {
            spec: spec.clone(),
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Takes a request; returns `Some(true)` when it starts at once, `Some(false)` when it waits, and `None` when the
    /// server refuses it.
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

    /// Ends a request; returns the one that starts in its slot.
    pub fn end(&mut self, number: RequestNumber) -> Option<RequestNumber> {
        self.waiting.retain(|waiting| *waiting != number);
        let index = self.running.iter().position(|running| *running == number)?;
        self.running.swap_remove(index);
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Returns the load that the server tells in its answers.
    #[must_use]
    pub fn load(&self) -> ReportedLoad {
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        ReportedLoad {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
        }
    }
}
