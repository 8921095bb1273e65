//! Listener and file checks for operators.
