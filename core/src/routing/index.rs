//! Lookup of the route of a call by its host and path.

use std::{collections, rc};

use super::{ConfigItems, Route};

/// Name and route, shared with the calls in progress on that route.
pub type NamedRoute = rc::Rc<(String, Route)>;

/// Routes by lower-case host name, longest path prefix first.
#[derive(Clone, Debug, Default)]
pub struct Index {
    hosts: collections::BTreeMap<String, Vec<NamedRoute>>,
}

impl Index {
    /// Builds the index from the routes of a configuration.
    pub fn new(items: &ConfigItems) -> Index {
        let mut hosts: collections::BTreeMap<String, Vec<NamedRoute>> =
            collections::BTreeMap::new();
        for (name, route) in &items.routes {
            let named = rc::Rc::new((name.clone(), route.clone()));
            hosts
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(named);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|named| std::cmp::Reverse(named.1.path_prefix.len()));
        }
        Index { hosts }
    }

    /// Returns the route of the host with the longest prefix of `path`.
    ///
    /// `host` may include a port, which is ignored; case does not matter.
    pub fn find(&self, host: &str, path: &str) -> Option<&NamedRoute> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes
            .iter()
            .find(|named| path.starts_with(&named.1.path_prefix))
    }
}
