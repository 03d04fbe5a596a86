//! Lookup of routes by host and path.

use crate::{ConfigurationError, Route};
use std::borrow::Cow;
use std::collections::HashMap;

/// Indices of routes by host and path prefix.
#[derive(Clone, Debug)]
pub(crate) struct RoutingTable {
    hosts: HashMap<String, HostRoutes>,
}

/// The routes of one host, as indices by path prefix.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, usize>,
    /// Length of the longest prefix, in bytes.
    max_prefix_bytes: usize,
}

impl RoutingTable {
    /// Builds the table.
    ///
    /// # Errors
    ///
    /// Fails if two routes have the same host and path prefix.
    pub(crate) fn new(routes: &[Route]) -> Result<RoutingTable, ConfigurationError> {
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = hosts.entry(normalize_host(&route.hostname).into_owned()).or_default();
            host.max_prefix_bytes = host.max_prefix_bytes.max(route.path_prefix.len());
            if let Some(first) = host.by_prefix.insert(route.path_prefix.clone(), index) {
                return Err(ConfigurationError::AmbiguousRoutes {
                    first: routes.get(first).map_or_else(String::new, |first| first.name.clone()),
                    second: route.name.clone(),
                });
            }
        }
        Ok(RoutingTable { hosts })
    }

    /// Returns the index of the route of the host with the longest prefix that matches the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = self.hosts.get(normalize_host(host).as_ref())?;
        let path = path.split('?').next().unwrap_or(path);
        let mut end = path.len().min(host.max_prefix_bytes);
        loop {
            // Every prefix ends with a slash, so only the parts of the path that end with one are looked up.
            let slash = path.as_bytes().get(..end)?.iter().rposition(|byte| *byte == b'/')?;
            if let Some(index) = host.by_prefix.get(&path[..=slash]) {
                return Some(*index);
            }
            end = slash;
        }
    }
}

/// Returns the host in lower case and without its port.
fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = without_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        // The colons of an IPv6 address are inside brackets. If a bracket follows the last colon, there is no port.
        Some((name, port)) if !port.contains(']') => name,
        _ => host,
    }
}
