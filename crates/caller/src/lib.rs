//! Caller-facing part of an entry: the OpenAI-style HTTP interface, refusals and per-class concurrency limits.

pub mod class_gate;
pub mod headers;
pub mod openai;
pub mod refusal;
