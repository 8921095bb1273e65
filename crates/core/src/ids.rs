//! Identifiers shared by all crates.

/// Name of a workspace, which represents one customer in the configuration.
pub type WorkspaceId = String;

/// Name of a request class.
pub type ClassId = String;

/// Index of a service tier in the configuration; 0 is the highest tier.
pub type TierId = u8;

/// Name of a pool of backend servers: a model pool or a plain service.
pub type PoolId = String;

/// Name of a backend server, unique in the fleet.
pub type ServerId = String;

/// Name of an availability zone.
pub type ZoneId = String;

/// Number of one attempt to run a request, unique on its link.
pub type AttemptId = u64;

/// Identifies a request in the log lines of all processes.
pub type RequestId = String;

/// Generation of the configuration, advanced only by compare-and-swap.
pub type Generation = u64;

/// Distinguishes the restarts of a process; increases with each restart.
pub type Incarnation = u64;

/// Hash of workspace and body that identifies a request that may crash backend servers.
pub type Fingerprint = u64;
