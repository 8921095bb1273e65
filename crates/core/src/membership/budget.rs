//! Token bucket for sent bytes.

use std::time::Duration;

/// Token bucket: refills at a fixed rate up to a burst. Probes and their answers are charged but never blocked, so the
/// level may be negative.
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

    /// Adds the bytes earned until `now`.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let level_bytes = self.level_bytes + elapsed.as_secs_f64() * self.bytes_per_second;
        self.level_bytes = level_bytes.min(self.burst_bytes);
    }

    /// Returns whether an optional datagram may be sent.
    pub fn is_open(&self) -> bool {
        self.level_bytes > 0.0
    }

    /// Returns whether at least half of the burst is left, for datagrams that can wait.
    pub fn is_ample(&self) -> bool {
        self.level_bytes * 2.0 >= self.burst_bytes
    }

    /// Charges sent bytes. The level never falls below one negative burst.
    pub fn charge(&mut self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        self.level_bytes = (self.level_bytes - f64::from(bytes)).max(-self.burst_bytes);
    }
}
