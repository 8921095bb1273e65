//! Listener for callers: OpenAI-style HTTP interface, limits, refusals.
