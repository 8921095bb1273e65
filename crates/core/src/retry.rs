//! Retry decisions and the retry budget of each tier.
