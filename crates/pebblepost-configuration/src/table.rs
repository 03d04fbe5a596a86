//! Lookup of routes by host and path.

use crate::{ConfigurationError, Route};
use std::borrow::Cow;
use std::collections::HashMap;

/// Routes by host and prefix.
#[derive(Clone, Debug)]
pub(crate) struct RoutingTable {
    hosts: HashMap<String, HostRoutes>,
}

/// Routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, usize>,
    longest_prefix: usize,
}

impl RoutingTable {
    /// The table; refused if two routes have the same host and prefix.
    pub(crate) fn new(routes: &[Route]) -> Result<RoutingTable, ConfigurationError> {
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = hosts.entry(normal_host(&route.hostname).into_owned()).or_default();
            host.longest_prefix = host.longest_prefix.max(route.path_prefix.len());
            if let Some(other) = host.by_prefix.insert(route.path_prefix.clone(), index) {
                let other = routes.get(other).map_or("", |other| other.name.as_str());
                let name = &route.name;
                return Err(ConfigurationError(format!(
                    "routes '{other}' and '{name}' have the same host and prefix"
                )));
            }
        }
        Ok(RoutingTable { hosts })
    }

    /// Index of the route with the longest prefix of the path.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = self.hosts.get(normal_host(host).as_ref())?;
        let path = path.split('?').next().unwrap_or(path);
        let mut end = path.len().min(host.longest_prefix);
        loop {
            // A prefix ends with a slash, so that only those parts of the path are looked up.
            let slash = path.as_bytes().get(..end)?.iter().rposition(|byte| *byte == b'/')?;
            if let Some(index) = host.by_prefix.get(&path[..=slash]) {
                return Some(*index);
            }
            end = slash;
        }
    }
}

/// Lower case, without a port.
fn normal_host(host: &str) -> Cow<'_, str> {
    let name = without_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        // The colons of an IPv6 address without a port stand inside brackets.
        Some((name, port)) if !port.contains(']') => name,
        _ => host,
    }
}
