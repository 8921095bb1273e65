//! Prompt tokens that wait at a server, by the rank of their calls.

use super::Rank;

/// Ranks that are told apart, as many as engines know urgencies; calls of lower ranks count with the last one.
pub const RANKS: usize = 10;

/// Prompt tokens that wait for their first token, by rank.
///
/// Engines take the prompts of higher ranks first, so a call waits for the tokens of its own and higher ranks only.
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
pub struct WaitingTokens([u32; RANKS]);

impl WaitingTokens {
    /// Returns the tokens of one call.
    #[must_use]
    pub fn of(rank: Rank, tokens: u32) -> Self {
        let mut ranks = [0; RANKS];
        ranks[usize::from(rank).min(RANKS - 1)] = tokens;
        Self(ranks)
    }

    /// Takes the tokens of each rank, the highest first; ranks that are missing have none.
    #[must_use]
    pub fn from_ranks(tokens: &[u32]) -> Self {
        let mut ranks = [0; RANKS];
        for (rank, tokens) in ranks.iter_mut().zip(tokens) {
            *rank = *tokens;
        }
        Self(ranks)
    }

    /// Returns the tokens of each rank down to the lowest that has any.
    #[must_use]
    pub fn ranks(&self) -> &[u32] {
        let used = self.0.iter().rposition(|tokens| *tokens > 0);
        &self.0[..used.map_or(0, |last| last + 1)]
    }

    /// Returns the tokens of all ranks.
    #[must_use]
    pub fn total(&self) -> u32 {
        sum(&self.0)
    }

    /// Returns the tokens of a rank and all higher ones.
    #[must_use]
    pub fn up_to(&self, rank: Rank) -> u32 {
        sum(&self.0[..=usize::from(rank).min(RANKS - 1)])
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Returns what is left without `other`.
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
