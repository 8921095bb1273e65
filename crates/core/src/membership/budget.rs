//! Token bucket for sent bytes.

use std::time::Duration;

/// Token bucket that is refilled at a fixed rate up to the burst size. Probes and the responses to them are charged but
/// never blocked, so the level can be negative.
#[derive(Debug)]
pub(super) struct ByteBudget {
    level_bytes: f64,
    burst_bytes: f64,
    bytes_per_second: f64,
    filled_at: Duration,
}

impl ByteBudget {
    pub fn new(bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            level_bytes: f64::from(burst_bytes),
            burst_bytes: f64::from(burst_bytes),
            bytes_per_second: f64::from(bytes_per_second),
            filled_at: Duration::ZERO,
        }
    }

    /// Adds the bytes for the time since the last refill.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let level_bytes = self.level_bytes + elapsed.as_secs_f64() * self.bytes_per_second;
        self.level_bytes = level_bytes.min(self.burst_bytes);
    }

    /// Returns whether a datagram other than a probe or the response to one may be sent.
    pub fn is_available(&self) -> bool {
        self.level_bytes > 0.0
    }

    /// Returns whether at least half of the burst is left, which deferrable data requires.
    pub fn is_half_full(&self) -> bool {
        self.level_bytes * 2.0 >= self.burst_bytes
    }

    /// Returns whether more than `reserve_bytes` are left.
    pub fn has_more_than(&self, reserve_bytes: u32) -> bool {
        self.level_bytes > f64::from(reserve_bytes)
    }

    /// Deducts sent bytes. The level never falls below the negative burst size.
    pub fn charge(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.level_bytes = (self.level_bytes - f64::from(bytes)).max(-self.burst_bytes);
    }
}
