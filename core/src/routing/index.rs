//! Lookup of the route of a call by its host and path, and of its workspace by the API key.

use std::{collections, rc};

use super::{ApiKey, ConfigItems, Route, Workspace};

/// Name and route, shared with the calls in progress on that route.
pub type NamedRoute = rc::Rc<(String, Route)>;

/// Name and workspace, shared with its calls in progress.
pub type NamedWorkspace = rc::Rc<(String, Workspace)>;

/// Routes by lower-case host name, longest path prefix first, and workspaces by key.
#[derive(Clone, Debug, Default)]
pub struct Index {
    workspaces: collections::HashMap<ApiKey, NamedWorkspace>,
    has_workspaces: bool,
    has_public_routes: bool,
    hosts: collections::BTreeMap<String, Vec<NamedRoute>>,
}

impl Index {
    /// Builds the index from the routes and workspaces of a configuration.
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
        let mut workspaces = collections::HashMap::new();
        for (name, workspace) in &items.workspaces {
            let named = rc::Rc::new((name.clone(), workspace.clone()));
            for key in &workspace.keys {
                workspaces.insert(key.clone(), named.clone());
            }
        }
        Index {
            hosts,
            workspaces,
            has_workspaces: !items.workspaces.is_empty(),
            has_public_routes: items.routes.values().any(|route| route.public),
        }
    }

    /// Returns whether all calls need a key.
    pub fn needs_key_everywhere(&self) -> bool {
        self.has_workspaces && !self.has_public_routes
    }

    /// Returns whether calls need a key, except on public routes.
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Returns the workspace that holds a key.
    pub fn workspace(&self, key: &ApiKey) -> Option<&NamedWorkspace> {
        self.workspaces.get(key)
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
