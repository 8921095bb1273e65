//! Delay of what arrives at an entry over its link.
//!
//! When the callers send more than the link of a small VM carries, everything that arrives waits in front of it: requests,
//! answers of servers and the handshakes of new connections. Only the last ones show the delay to the entry, since the
//! kernel of a server completes a handshake at once, however busy the server is.

use std::collections::VecDeque;
use std::time::Duration;

use super::ServerNumber;

/// Time for which a handshake shows the delay of the link.
const MEMORY: Duration = Duration::from_millis(500);
/// Number of different servers whose handshakes must be slow. Fewer may be slow for a reason of their own.
const MIN_SERVERS: usize = 2;
/// Largest number of handshakes that are kept.
const MAX_HANDSHAKES: usize = 64;

#[derive(Debug)]
struct Handshake {
    at: Duration,
    server: ServerNumber,
    took: Duration,
}

/// Estimate of the delay from the handshakes of recent connections.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use tanagerford_core::dispatch::LinkDelay;
///
/// let ms = Duration::from_millis;
/// let mut delay = LinkDelay::default();
/// delay.on_connected(ms(100), 1, ms(180));
/// assert_eq!(delay.get(ms(110)), ms(0));
/// delay.on_connected(ms(120), 2, ms(150));
/// assert_eq!(delay.get(ms(120)), ms(150));
/// assert_eq!(delay.get(ms(700)), ms(0));
/// ```
#[derive(Debug, Default)]
pub struct LinkDelay {
    handshakes: VecDeque<Handshake>,
}

impl LinkDelay {
    /// Records that a connection to a server was established after `took`.
    pub fn on_connected(&mut self, now: Duration, server: ServerNumber, took: Duration) {
        while self.handshakes.len() >= MAX_HANDSHAKES {
            self.handshakes.pop_front();
        }
        self.handshakes.push_back(Handshake {
            at: now,
            server,
            took,
        });
    }

    /// Returns the delay: the time of the fastest recent handshake, since a faster one shows that the link had room. Without
    /// recent handshakes with several servers the delay is unknown and counts as zero.
    #[must_use]
    pub fn get(&self, now: Duration) -> Duration {
        let recent = || {
            let is_recent = |handshake: &&Handshake| now.saturating_sub(handshake.at) <= MEMORY;
            self.handshakes.iter().filter(is_recent)
        };
        let mut servers: Vec<_> = recent().map(|handshake| handshake.server).collect();
        servers.sort_unstable();
        servers.dedup();
        if servers.len() < MIN_SERVERS {
            return Duration::ZERO;
        }
        let fastest = recent().map(|handshake| handshake.took).min();
        fastest.unwrap_or_default()
    }
}
