//! Checks of upstreams and routes.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{check_positive, check_workspace_list, is_valid_name};
use crate::{
    catalog::{Catalog, Route, Upstream, UpstreamKind},
    findings::{Findings, Section},
};

/// Path prefix of the model API, which routes to services must not use.
const MODEL_PATH_PREFIX: &str = "/v1";

pub(super) fn check(catalog: &Catalog, findings: &mut Findings) {
    let mut by_address: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (name, upstream) in &catalog.upstreams {
        check_upstream(name, upstream, findings);
        if let Some(first) = by_address.insert(upstream.address, name) {
            let location = findings.item_location(Section::Upstreams, first);
            let text = format!("has the same address as upstream `{first}` ({location})");
            findings.report_field(Section::Upstreams, name, "address", &text);
        }
    }
    let mut by_prefix: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, route) in &catalog.routes {
        check_prefix(name, &route.prefix, findings);
        check_targets(catalog, name, route, findings);
        check_callers(catalog, name, route, findings);
        if let Some(first) = by_prefix.insert(&route.prefix, name) {
            let location = findings.item_location(Section::Routes, first);
            let text = format!("has the same prefix as route `{first}` ({location})");
            findings.report_field(Section::Routes, name, "prefix", &text);
        }
    }
}

fn check_upstream(name: &str, upstream: &Upstream, findings: &mut Findings) {
    let section = Section::Upstreams;
    let address = upstream.address;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let text = format!("cannot be reached at {address}");
        findings.report_field(section, name, "address", &text);
    }
    for (field, text) in [("zone", &upstream.zone), ("cell", &upstream.cell)] {
        if !is_valid_name(text) {
            let text = format!("has a `{field}` that cannot be used as a name");
            findings.report_field(section, name, field, &text);
        }
    }
    if upstream.kind == UpstreamKind::Engine {
        check_positive(section, name, "memory_mb", upstream.memory_mb, findings);
        check_positive(section, name, "slots", upstream.slots.into(), findings);
        return;
    }
    if upstream.memory_mb > 0 {
        let text = "is a plain service and takes no `memory_mb`";
        findings.report_field(section, name, "memory_mb", text);
    }
    if upstream.checks_fencing {
        let text = "is a plain service, which takes no orders: remove `checks_fencing`";
        findings.report_field(section, name, "checks_fencing", text);
    }
}

fn check_prefix(name: &str, prefix: &str, findings: &mut Findings) {
    let mut report = |text: &str| findings.report_field(Section::Routes, name, "prefix", text);
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "/-._~".contains(c);
    if !prefix.starts_with('/') || !prefix.chars().all(is_allowed) {
        report("needs a `prefix` that begins with / and has only letters, digits and / - . _ ~");
        return;
    }
    let segments: Vec<&str> = prefix.split('/').skip(1).collect();
    if segments.iter().any(|s| ["", ".", ".."].contains(s)) {
        report("has a `prefix` with an empty or dotted segment; it needs no / at its end");
    }
    if prefix == MODEL_PATH_PREFIX || prefix.starts_with("/v1/") {
        report("has a `prefix` within /v1, which belongs to the calls of models");
    }
}

fn check_targets(catalog: &Catalog, name: &str, route: &Route, findings: &mut Findings) {
    const FIELD: &str = "upstreams";
    let mut report = |text: &str| findings.report_field(Section::Routes, name, FIELD, text);
    if route.upstreams.is_empty() {
        report("has no upstream");
    }
    for (i, target) in route.upstreams.iter().enumerate() {
        match catalog.upstreams.get(target) {
            None => report(&format!(
                "names the upstream `{target}`, which is not declared"
            )),
            Some(u) if u.kind == UpstreamKind::Engine => {
                report(&format!(
                    "names the upstream `{target}`, which is an engine"
                ));
            }
            Some(_) => {}
        }
        if route.upstreams[..i].contains(target) {
            report(&format!("names the upstream `{target}` twice"));
        }
    }
}

fn check_callers(catalog: &Catalog, name: &str, route: &Route, findings: &mut Findings) {
    let section = Section::Routes;
    check_workspace_list(catalog, section, name, &route.workspaces, findings);
    if route.open && !route.workspaces.is_empty() {
        let text = "is open to callers without a key and cannot be limited to workspaces";
        findings.report_field(section, name, "workspaces", text);
    }
    if route.open && route.cost > 0 {
        let text = "is open to callers without a key: there is no workspace that `cost` is \
                    taken from";
        findings.report_field(section, name, "cost", text);
    }
    for (workspace, allowance) in &catalog.workspaces {
        // A burst of zero is reported by the checks of workspaces.
        let may_use = route.workspaces.is_empty() || route.workspaces.contains(workspace);
        if !route.open && may_use && route.cost > allowance.burst && allowance.burst > 0 {
            let text = format!(
                "costs {} tokens a call, more than the burst of workspace `{workspace}` ({})",
                route.cost, allowance.burst
            );
            findings.report_field(section, name, "cost", &text);
        }
    }
}
