//! Checks of a configuration before it is put in place.

use std::collections;

use derive_more::Display;

use super::{ConfigItems, Route};

/// Why a configuration is invalid.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum ValidationError {
    /// The version is not above the current one.
    #[display("version is not above the current one")]
    OldVersion,
    /// A route names a service that doesn't exist.
    #[display("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// The weights of a route add up to zero, or one of them is negative or no number.
    #[display("route {route}: weights must not be negative and must add up to more than 0")]
    Weights {
        /// The route.
        route: String,
    },
    /// The timeout of a route is zero.
    #[display("route {route}: timeout is 0")]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A route allows no attempt.
    #[display("route {route}: no attempt is allowed")]
    NoAttempts {
        /// The route.
        route: String,
    },
    /// The prefix of a route doesn't begin and end with a slash.
    #[display("route {route}: prefix must begin and end with a slash")]
    Prefix {
        /// The route.
        route: String,
    },
    /// Two routes have the same host and prefix.
    #[display("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// The route that comes first by name.
        first: String,
        /// The other one.
        second: String,
    },
}

/// Lists all faults of a configuration.
pub(super) fn errors(items: &ConfigItems) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut places = collections::BTreeMap::new();
    for (name, route) in &items.routes {
        route_faults(name, route, items, &mut errors);
        let place = (route.host.as_str(), route.path_prefix.as_str());
        if let Some(first) = places.insert(place, name) {
            let first: &String = first;
            errors.push(ValidationError::SamePlace {
                first: first.clone(),
                second: name.clone(),
            });
        }
    }
    errors
}

fn route_faults(name: &str, route: &Route, items: &ConfigItems, errors: &mut Vec<ValidationError>) {
    let name = || name.to_owned();
    for share in &route.shares {
        if !items.services.contains_key(share.service.as_str()) {
            errors.push(ValidationError::UnknownService {
                route: name(),
                service: share.service.to_string(),
            });
        }
    }
    let sound = |weight: f64| weight.is_finite() && weight >= 0.0;
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    if !route.shares.iter().all(|share| sound(share.weight)) || total <= 0.0 {
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
