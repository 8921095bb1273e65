//! Client for model engines.
