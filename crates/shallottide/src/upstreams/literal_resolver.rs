//! Reads an upstream's address out of the URL.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{DefaultResolver, ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Takes the address that stands in the URL, without the thread that the library's own
/// resolver starts for each request with a timeout.
#[derive(Debug, Default)]
pub(super) struct LiteralResolver {
    names: DefaultResolver,
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
            return self.names.resolve(uri, config, timeout);
        };
        let mut resolved = self.empty();
        resolved.push(address);
        Ok(resolved)
    }
}
