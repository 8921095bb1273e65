//! Identifiers shared by all packages.

/// Name of a workspace, the unit of customers in the configuration.
pub type WorkspaceId = String;

/// Name of a request class.
pub type ClassId = String;

/// Rank of a service tier; 0 is the highest tier.
pub type TierId = u8;

/// Name of a pool of backend servers: a model pool or a plain service.
pub type PoolId = String;

/// Name of a backend server, unique in the fleet.
pub type ServerId = String;

/// Name of an availability zone.
pub type ZoneId = String;

/// Number of one attempt to run a request, unique on its link.
pub type AttemptId = u64;

/// Number that correlates log lines of one request in all processes.
pub type RequestId = String;

/// Generation of the configuration, moved only by compare-and-swap.
pub type Generation = u64;

/// Number that tells restarts of one process apart; it rises with each restart.
pub type Incarnation = u64;

/// Hash of workspace and body that identifies a request that may crash backend servers.
pub type Fingerprint = u64;
