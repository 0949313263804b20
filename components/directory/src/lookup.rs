//! Lookup of a request's route and tenant.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Configuration, Route, Tenant};

/// A configuration with indexes for lookups.
#[derive(Debug)]
pub struct Directory {
    configuration: Arc<Configuration>,
    // Route indexes by host, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<String, usize>,
}

/// Result of a lookup.
#[derive(Debug, PartialEq)]
pub enum Lookup<'a> {
    /// The request may run.
    Allowed {
        /// Route of the request.
        route: &'a Route,
        /// Tenant whose key the request carries; `None` without a known key.
        tenant: Option<&'a Tenant>,
    },
    /// No route serves the host and path.
    NoRoute,
    /// The route needs a key, and the request carries none or one of no tenant.
    UnknownKey,
}

impl Directory {
    /// Indexes a configuration.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| usize::MAX - configuration.routes[*index].prefix.len());
        }
        let mut keys = HashMap::new();
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            keys.extend(tenant.keys.iter().map(|key| (key.clone(), index)));
        }
        Directory {
            configuration,
            hosts,
            keys,
        }
    }

    /// The indexed configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Finds the route and tenant of a request. `host` may include a port; `path` must not include the query.
    pub fn look_up(&self, host: &str, path: &str, key: Option<&str>) -> Lookup<'_> {
        let Some(route) = self.route(host, path) else {
            return Lookup::NoRoute;
        };
        let tenant = key.and_then(|key| self.tenant_of(key));
        if tenant.is_none() && self.needs_key(route) {
            return Lookup::UnknownKey;
        }
        Lookup::Allowed { route, tenant }
    }

    /// Whether requests of a route must carry a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.public && !self.configuration.tenants.is_empty()
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut routes = self.route_indexes_for_host(host)?.iter();
        let route = |index: &usize| &self.configuration.routes[*index];
        let index = routes.find(|index| path.starts_with(&route(index).prefix))?;
        Some(route(index))
    }

    /// Routes of a host, longest prefix first; `None` if no route serves it.
    pub fn routes_for_host(&self, host: &str) -> Option<Vec<&Route>> {
        let indexes = self.route_indexes_for_host(host)?.iter();
        Some(indexes.map(|i| &self.configuration.routes[*i]).collect())
    }

    fn route_indexes_for_host(&self, host: &str) -> Option<&Vec<usize>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(&name.to_ascii_lowercase())
    }

    fn tenant_of(&self, key: &str) -> Option<&Tenant> {
        let index = *self.keys.get(key)?;
        self.configuration.tenants.get(index)
    }
}
