//! At-most-once orders: the sidecar's order gate, claim pages and the claim writer.
