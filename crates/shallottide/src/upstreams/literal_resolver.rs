//! Resolves upstream addresses that are IP literals without a thread.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Resolver that takes an IP address and port directly from the URL.
///
/// The library's resolver starts a thread for each request with a timeout; it is used for host
/// fallback only.
#[derive(Debug, Default)]
pub(super) struct LiteralResolver {
    fallback: DefaultResolver,
}

impl Resolver for LiteralResolver {
    fn resolve(
        &self,
        uri: &Uri,
        config: &Config,
        timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let literal = uri
            .authority()
            .and_then(|authority| authority.as_str().parse::<SocketAddr>().ok());
        let Some(address) = literal else {
            return self.fallback.resolve(uri, config, timeout);
        };
        let mut resolved = self.empty();
        resolved.push(address);
        Ok(resolved)
    }
}
