//! Local health awareness of Lifeguard.

/// Highest value of the score.
const MAX_SCORE: u32 = 8;

/// Score of this process's own health; 0 is healthy. A process that is slow or badly connected raises its own timeouts
/// instead of suspecting others.
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Records a sign that this process is healthy.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records `count` signs that this process is not healthy.
    pub fn worsen(&mut self, count: u32) {
        self.score = (self.score + count).min(MAX_SCORE);
    }

    /// Returns the factor by which probe times are stretched.
    pub fn factor(&self) -> u32 {
        self.score + 1
    }
}
