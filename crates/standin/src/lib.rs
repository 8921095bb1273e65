//! Stand-ins for engine, plain service and platform.
