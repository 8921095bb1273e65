//! Helpers for blocking `ureq` clients: a resolver with a fixed address and the classification of errors.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Resolver that returns the same address for every URI.
///
/// The default resolver of `ureq` starts a thread for each call with a timeout, even when the host is an IP address or
/// the connection is reused.
#[derive(Debug, Clone, Copy)]
pub struct FixedAddress(pub SocketAddr);

impl Resolver for FixedAddress {
    fn resolve(
        &self,
        _uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let mut addresses = self.empty();
        addresses.push(self.0);
        Ok(addresses)
    }
}

/// Returns whether a call failed before any byte of it was sent. Such a call certainly had no effect.
///
/// # Examples
///
/// ```
/// use tanagerford_http::client::is_unsent;
///
/// assert!(is_unsent(&ureq::Error::ConnectionFailed));
/// assert!(!is_unsent(&ureq::Error::Timeout(ureq::Timeout::Global)));
/// ```
#[must_use]
pub fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
