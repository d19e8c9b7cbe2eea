//! Lookup of the service of a call by host and longest path prefix, and detection of route
//! conflicts.

use std::collections;

use crate::records::{ServiceSpec, ValidationError};
use crate::types;

/// Host that matches any host for which no exact route matches.
const ANY_HOST: &str = "*";

/// Returns the value of a Host header in lower case and without the port.
pub fn normalize_host(host: &str) -> String {
    let end = match host.rfind(':') {
        // Colons inside the brackets of an IPv6 address do not separate a port.
        Some(at) if !host[at..].contains(']') => at,
        _ => host.len(),
    };
    host[..end].to_ascii_lowercase()
}

/// Returns `prefix` without trailing slashes; the root is `/`.
pub fn normalize_prefix(prefix: &str) -> &str {
    match prefix.trim_end_matches('/') {
        "" => "/",
        trimmed => trimmed,
    }
}

/// Routes of all services. A route is a pair of a host and a path prefix and belongs to one
/// service.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: collections::BTreeMap<String, collections::BTreeMap<String, types::ServiceName>>,
}

impl Routes {
    /// Sets the routes of a service, replacing its previous ones.
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

    /// Returns an error for each route of `spec` that belongs to another service than `name`.
    pub fn conflicts(&self, name: &types::ServiceName, spec: &ServiceSpec) -> Vec<ValidationError> {
        let prefix = &spec.path_prefix;
        let mut errors = Vec::new();
        for (at, host) in spec.hosts.iter().enumerate() {
            let owner = self
                .hosts
                .get(host)
                .and_then(|prefixes| prefixes.get(prefix));
            if let Some(owner) = owner.filter(|owner| *owner != name) {
                let message = format!("{host} with prefix {prefix} belongs to service {owner}");
                errors.push(ValidationError::new(format!("$.spec.hosts[{at}]"), message));
            }
        }
        errors
    }

    /// Returns the service with the longest matching prefix. Routes of the exact host have
    /// precedence over routes of `*`.
    ///
    /// `host` may include a port and `path` a query; both are ignored. Prefixes match whole path
    /// segments.
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
