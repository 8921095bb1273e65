//! Token bucket from which permits are granted.

use std::time::Duration;

use super::RequestRate;

/// Time for which a bucket collects tokens while nobody asks for them.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Smallest capacity in tokens. It holds a returned token beside one that accrued meanwhile.
const MIN_CAPACITY: f64 = 2.0;
/// Time that is added to the time of the next token, so that rounding does not leave the bucket just short of it.
const ROUNDING_MARGIN: Duration = Duration::from_micros(100);

/// Tokens that accrue at the rate of a limit. It begins empty, so that the loss of a bucket never grants more.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Duration>,
}

impl TokenBucket {
    /// Adds the tokens that accrued since the last call.
    pub(super) fn refill(&mut self, now: Duration, rate: RequestRate) {
        let before = self.refilled_at.replace(now).unwrap_or(now);
        self.tokens += now.saturating_sub(before).as_secs_f64() * rate;
        self.tokens = self.tokens.min(capacity(rate));
    }

    /// Takes up to `count` whole tokens and returns their number.
    pub(super) fn take(&mut self, count: u32) -> u32 {
        let mut taken = 0;
        while taken < count && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            taken += 1;
        }
        taken
    }

    /// Adds tokens of permits that were not used.
    pub(super) fn put_back(&mut self, count: u32, rate: RequestRate) {
        self.tokens = (self.tokens + f64::from(count)).min(capacity(rate));
    }

    /// Returns the time of the next whole token; `None` before the first refill.
    pub(super) fn next_token_at(&self, rate: RequestRate) -> Option<Duration> {
        let wait_s = (1.0 - self.tokens).max(0.0) / rate;
        let wait = Duration::try_from_secs_f64(wait_s).ok()? + ROUNDING_MARGIN;
        Some(self.refilled_at? + wait)
    }
}

fn capacity(rate: RequestRate) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(MIN_CAPACITY)
}
