//! Finds the service of a call by host and longest path prefix.

use std::collections;

use crate::records::{ServiceSpec, ValidationError};
use crate::types;

/// Host that matches when no exact host does.
const ANY_HOST: &str = "*";

/// Removes the port of a Host header and lowers its case.
pub fn normalize_host(host: &str) -> String {
    let end = match host.rfind(':') {
        // The colons inside the brackets of an IPv6 address are no port separators.
        Some(at) if !host[at..].contains(']') => at,
        _ => host.len(),
    };
    host[..end].to_ascii_lowercase()
}

/// Removes trailing slashes, except from `/` itself.
pub fn normalize_prefix(prefix: &str) -> &str {
    match prefix.trim_end_matches('/') {
        "" => "/",
        trimmed => trimmed,
    }
}

/// Routes of all services. A route is a pair of host and path prefix and belongs to one service.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: collections::BTreeMap<String, collections::BTreeMap<String, types::ServiceName>>,
}

impl Routes {
    /// Adds the routes of a service and replaces those it had.
    pub fn insert(&mut self, name: &types::ServiceName, spec: &ServiceSpec) {
        self.remove(name);
        for host in &spec.hosts {
            let prefixes = self.hosts.entry(host.clone()).or_default();
            prefixes.insert(spec.path_prefix.clone(), name.clone());
        }
    }

    /// Removes the routes of a service.
    pub fn remove(&mut self, name: &types::ServiceName) {
        self.hosts.retain(|_, prefixes| {
            prefixes.retain(|_, service| service != name);
            !prefixes.is_empty()
        });
    }

    /// Lists the routes of `spec` that already belong to another service than `name`.
    pub fn conflicts(&self, name: &types::ServiceName, spec: &ServiceSpec) -> Vec<ValidationError> {
        let prefix = &spec.path_prefix;
        let mut errors = Vec::new();
        for (at, host) in spec.hosts.iter().enumerate() {
            let other = self
                .hosts
                .get(host)
                .and_then(|prefixes| prefixes.get(prefix));
            if let Some(other) = other.filter(|other| *other != name) {
                let message = format!("{host} with prefix {prefix} belongs to service {other}");
                errors.push(ValidationError::new(format!("$.spec.hosts[{at}]"), message));
            }
        }
        errors
    }

    /// Returns the service with the longest matching prefix; an exact host wins over `*`.
    ///
    /// `host` may carry a port; `path` may carry a query. Prefixes match whole path segments.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&types::ServiceName> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let exact = self.hosts.get(&normalize_host(host));
        let any = self.hosts.get(ANY_HOST);
        let tables = exact.into_iter().chain(any);
        tables.filter_map(|prefixes| longest(prefixes, path)).next()
    }
}

fn longest<'a>(
    prefixes: &'a collections::BTreeMap<String, types::ServiceName>,
    path: &str,
) -> Option<&'a types::ServiceName> {
    let mut rest = path.trim_end_matches('/');
    while !rest.is_empty() {
        if let Some(service) = prefixes.get(rest) {
            return Some(service);
        }
        rest = &rest[..rest.rfind('/')?];
    }
    prefixes.get("/")
}
