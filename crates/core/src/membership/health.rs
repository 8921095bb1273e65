//! Local health awareness, as in Lifeguard.

const MAX_SCORE: u32 = 8;

/// Health score of this process; 0 is healthy. A process that is slow or has a bad connection extends its own timeouts
/// instead of suspecting others.
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records a probe that was acknowledged in time.
    pub fn record_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records `count` indications that this process is unhealthy.
    pub fn record_failures(&mut self, count: u32) {
        self.score = (self.score + count).min(MAX_SCORE);
    }

    /// Returns the factor by which the probe period and timeouts are multiplied.
    pub fn factor(&self) -> u32 {
        self.score + 1
    }
}
