//! Suspicion table of request fingerprints that crash backend servers.
