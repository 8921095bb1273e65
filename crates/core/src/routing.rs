//! Choice of a backend server at the entry.
