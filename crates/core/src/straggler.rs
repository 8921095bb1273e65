//! Detection, ejection and trial of slow backend servers.
