//! Lookup of routes by path prefix.

use comfreyweir_config::catalog::{Catalog, Route};

/// The name and the route with the longest prefix that covers the path.
///
/// A prefix covers whole segments: `/orders` covers `/orders/7` but not `/orders-old`.
pub fn find<'a>(catalog: &'a Catalog, path: &str) -> Option<(&'a str, &'a Route)> {
    let covering = catalog
        .routes
        .iter()
        .filter(|(_, route)| covers(&route.prefix, path));
    let longest = covering.max_by_key(|(_, route)| route.prefix.len())?;
    Some((longest.0, longest.1))
}

fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.strip_suffix('/').unwrap_or(prefix);
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// Whether a workspace may use a route. A route that lists no workspaces is open to all.
pub fn allows(route: &Route, workspace: &str) -> bool {
    route.workspaces.is_empty() || route.workspaces.iter().any(|w| w == workspace)
}
