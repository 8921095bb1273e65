//! Order log of the sidecar: claims in the key-value service, the order gate, and answers kept in memory.
