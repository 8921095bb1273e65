//! Estimates of output length from streaming quantiles.
