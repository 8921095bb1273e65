//! Client for plain services.
