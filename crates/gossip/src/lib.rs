//! UDP transport of membership and spread of configuration.
