//! What the clients of backend servers share: a resolver for one address, and which failures precede the call.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Resolves everything to one address.
///
/// The default resolver starts a thread for each call with a timeout, also when the host is an IP address and the
/// connection is reused.
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

/// Returns whether a call failed before anything of it was sent, so that it certainly had no effect.
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
