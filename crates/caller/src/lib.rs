//! Callers' side of the entry: the OpenAI-style interface, refusals and limits.

pub mod class_gate;
pub mod headers;
pub mod openai;
pub mod refusal;
