//! Evacuated failure domains, whose targets get no calls and no probes.
//!
//! Load pattern: an operator is about to take a whole failure domain out of service, while callers go
//! on at the full rate. The targets of the domain still announce themselves and answer probes, so
//! that neither their health nor their load tells that calls must go elsewhere.
//!
//! The set is part of the replicated state. Orders are idempotent: a resent one changes nothing.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::types;

/// What an order does to a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Its targets get no further calls.
    Start,
    /// Its targets get calls again.
    End,
}

/// Order of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The failure domain.
    pub failure_domain: types::FailureDomain,
    /// What to do with it.
    pub action: Action,
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    domains: collections::BTreeSet<types::FailureDomain>,
}

impl Evacuations {
    /// Applies an order; returns whether it changed the set.
    pub fn apply(&mut self, order: &Order) -> bool {
        match order.action {
            Action::Start => self.domains.insert(order.failure_domain.clone()),
            Action::End => self.domains.remove(&order.failure_domain),
        }
    }

    /// Returns whether an order would change nothing.
    pub fn is_applied(&self, order: &Order) -> bool {
        self.contains(&order.failure_domain) == (order.action == Action::Start)
    }

    /// Returns whether a failure domain is evacuated.
    pub fn contains(&self, domain: &types::FailureDomain) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the evacuated failure domains in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &types::FailureDomain> {
        self.domains.iter()
    }

    /// Returns the orders that lead from `previous` to this set.
    pub fn orders_since(&self, previous: &Evacuations) -> Vec<Order> {
        let started = self.domains.difference(&previous.domains);
        let ended = previous.domains.difference(&self.domains);
        let started = started.map(|domain| (domain, Action::Start));
        let orders = started.chain(ended.map(|domain| (domain, Action::End)));
        orders
            .map(|(domain, action)| Order {
                failure_domain: domain.clone(),
                action,
            })
            .collect()
    }
}

impl FromIterator<types::FailureDomain> for Evacuations {
    fn from_iter<I: IntoIterator<Item = types::FailureDomain>>(domains: I) -> Self {
        Evacuations {
            domains: domains.into_iter().collect(),
        }
    }
}
