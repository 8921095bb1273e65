//! Prompt tokens that wait at a server, by the rank of their calls.

use super::Rank;

/// Number of ranks that are counted separately, equal to the number of priorities that engines support. Calls of lower
/// ranks count with the last one.
const RANK_COUNT: usize = 10;

/// Prompt tokens of calls that wait for their first token, by rank.
///
/// Engines process the prompts of higher ranks first, so a call waits only for the tokens of its own and higher ranks.
///
/// # Examples
///
/// ```
/// use tanagerford_core::dispatch::WaitingTokens;
///
/// let waiting = WaitingTokens::of(0, 200).saturating_add(WaitingTokens::of(2, 17_000));
/// assert_eq!(waiting.total(), 17_200);
/// assert_eq!(waiting.up_to(1), 200);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitingTokens([u32; RANK_COUNT]);

impl WaitingTokens {
    /// Returns the waiting tokens of a single call.
    #[must_use]
    pub fn of(rank: Rank, tokens: u32) -> Self {
        let mut ranks = [0; RANK_COUNT];
        ranks[usize::from(rank).min(RANK_COUNT - 1)] = tokens;
        Self(ranks)
    }

    /// Creates the counts from the tokens of each rank, the highest rank first. Missing ranks have no tokens.
    #[must_use]
    pub fn from_ranks(tokens: &[u32]) -> Self {
        let mut ranks = [0; RANK_COUNT];
        for (rank, tokens) in ranks.iter_mut().zip(tokens) {
            *rank = *tokens;
        }
        Self(ranks)
    }

    /// Returns the tokens of each rank, without trailing ranks that have none.
    #[must_use]
    pub fn ranks(&self) -> &[u32] {
        let used = self.0.iter().rposition(|tokens| *tokens > 0);
        &self.0[..used.map_or(0, |last| last + 1)]
    }

    /// Returns the sum over all ranks.
    #[must_use]
    pub fn total(&self) -> u32 {
        sum(&self.0)
    }

    /// Returns the sum over the given rank and all higher ranks.
    #[must_use]
    pub fn up_to(&self, rank: Rank) -> u32 {
        sum(&self.0[..=usize::from(rank).min(RANK_COUNT - 1)])
    }

    /// Adds the tokens of each rank, saturating at the numeric bounds.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Subtracts the tokens of each rank, saturating at 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        self.combine(other, u32::saturating_sub)
    }

    fn combine(mut self, other: Self, combine: impl Fn(u32, u32) -> u32) -> Self {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own = combine(*own, other);
        }
        self
    }
}

fn sum(tokens: &[u32]) -> u32 {
    tokens.iter().fold(0, |sum, rank| sum.saturating_add(*rank))
}
