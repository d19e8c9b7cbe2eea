//! Validation of a configuration before it replaces the current one.

use std::collections;

use derive_more::Display;

use super::{Allowance, ApiKey, ConfigItems, Route};

/// A reason why a configuration is invalid.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum ValidationError {
    /// The new version is not greater than the current one.
    #[display("version is not above the current one")]
    OldVersion,
    /// A route refers to a service that does not exist.
    #[display("route {route}: unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// The weights of a route add up to 0, or one of them is negative, infinite or not a number.
    #[display("route {route}: weights must not be negative and must add up to more than 0")]
    Weights {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[display("route {route}: timeout is 0")]
    NoTimeout {
        /// Name of the route.
        route: String,
    },
    /// A route allows no attempts.
    #[display("route {route}: no attempt is allowed")]
    NoAttempts {
        /// Name of the route.
        route: String,
    },
    /// The path prefix of a route does not start and end with a slash.
    #[display("route {route}: prefix must begin and end with a slash")]
    Prefix {
        /// Name of the route.
        route: String,
    },
    /// Two workspaces hold the same key.
    #[display("workspaces {first} and {second} have a key in common")]
    SharedKey {
        /// Name of the workspace that sorts first.
        first: String,
        /// Name of the other workspace.
        second: String,
    },
    /// The rate or burst of a workspace is negative, infinite or not a number.
    #[display("workspace {workspace}: rate and burst must be finite and not negative")]
    Allowance {
        /// Name of the workspace.
        workspace: String,
    },
    /// The rate of calls to cold targets is negative, infinite or not a number.
    #[display("service {service}: rate of cold targets must be finite and not negative")]
    Warmup {
        /// Name of the service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[display("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// Name of the route that sorts first.
        first: String,
        /// Name of the other route.
        second: String,
    },
}

/// Returns all validation errors of a configuration, in the order of the route names.
pub(super) fn validation_errors(items: &ConfigItems) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut seen = collections::BTreeMap::new();
    for (name, route) in &items.routes {
        check_route(name, route, items, &mut errors);
        let host_and_prefix = (route.host.as_str(), route.path_prefix.as_str());
        if let Some(first) = seen.insert(host_and_prefix, name) {
            let first: &String = first;
            errors.push(ValidationError::SamePlace {
                first: first.clone(),
                second: name.clone(),
            });
        }
    }
    check_workspaces(items, &mut errors);
    for (name, service) in &items.services {
        let warmup = service.warmup.as_ref();
        if warmup.is_some_and(|warmup| !is_amount(warmup.calls_per_second)) {
            errors.push(ValidationError::Warmup {
                service: name.clone(),
            });
        }
    }
    errors
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn check_workspaces(items: &ConfigItems, errors: &mut Vec<ValidationError>) {
    let mut holders: collections::HashMap<&ApiKey, &String> = collections::HashMap::new();
    for (name, workspace) in &items.workspaces {
        for key in &workspace.keys {
            if let Some(first) = holders.insert(key, name)
                && first != name
            {
                errors.push(ValidationError::SharedKey {
                    first: first.clone(),
                    second: name.clone(),
                });
            }
        }
        let allowance = workspace.allowance.as_ref();
        let invalid = |allowance: &Allowance| {
            !is_amount(allowance.calls_per_second) || !is_amount(allowance.burst)
        };
        if allowance.is_some_and(invalid) {
            errors.push(ValidationError::Allowance {
                workspace: name.clone(),
            });
        }
    }
}

fn check_route(name: &str, route: &Route, items: &ConfigItems, errors: &mut Vec<ValidationError>) {
    let name = || name.to_owned();
    for share in &route.shares {
        if !items.services.contains_key(share.service.as_str()) {
            errors.push(ValidationError::UnknownService {
                route: name(),
                service: share.service.to_string(),
            });
        }
    }
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    if !route.shares.iter().all(|share| is_amount(share.weight)) || total <= 0.0 {
        errors.push(ValidationError::Weights { route: name() });
    }
    if route.timeout.is_zero() {
        errors.push(ValidationError::NoTimeout { route: name() });
    }
    if route.max_attempts == 0 {
        errors.push(ValidationError::NoAttempts { route: name() });
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        errors.push(ValidationError::Prefix { route: name() });
    }
}
