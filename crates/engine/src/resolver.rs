//! Resolver of a client for one address.

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
pub(crate) struct FixedAddress(pub(crate) SocketAddr);

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
