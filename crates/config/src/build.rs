//! Building the catalog from the merged settings.

use std::net::{Ipv4Addr, SocketAddr};

use crate::{
    catalog::{self, Adapter, Catalog, Key, Model, Route, Upstream, UpstreamKind, Workspace},
    fields::Fields,
    findings::{Findings, Section},
    merge::Merged,
};

/// Builds every item; one with mistakes has stand-ins, so that the check can go on.
pub(crate) fn build(merged: Merged<'_>, findings: &mut Findings) -> Catalog {
    let mut catalog = Catalog::default();
    for (id, values) in merged {
        let (section, name) = id.clone();
        let mut fields = Fields::new(id, values, findings);
        let f = &mut fields;
        match section {
            Section::Models => drop(catalog.models.insert(name, model(f))),
            Section::Adapters => drop(catalog.adapters.insert(name, adapter(f))),
            Section::Workspaces => drop(catalog.workspaces.insert(name, workspace(f))),
            Section::Keys => drop(catalog.keys.insert(name, key(f))),
            Section::Upstreams => drop(catalog.upstreams.insert(name, upstream(f))),
            Section::Routes => drop(catalog.routes.insert(name, route(f))),
        }
        fields.finish();
    }
    catalog
}

fn model(f: &mut Fields<'_, '_>) -> Model {
    Model {
        version: f.required("version", String::new()),
        memory_mb: f.required("memory_mb", 0),
        replicas: f.optional("replicas", catalog::default_replicas()),
        max_output_tokens: f.optional("max_output_tokens", catalog::default_output_tokens()),
        bytes_per_token: f.optional("bytes_per_token", catalog::default_bytes_per_token()),
        workspaces: f.optional("workspaces", Vec::new()),
    }
}

fn adapter(f: &mut Fields<'_, '_>) -> Adapter {
    Adapter {
        model: f.required("model", String::new()),
        version: f.required("version", String::new()),
        memory_mb: f.required("memory_mb", 0),
        workspaces: f.optional("workspaces", Vec::new()),
    }
}

fn workspace(f: &mut Fields<'_, '_>) -> Workspace {
    Workspace {
        rate: f.required("rate", 0),
        burst: f.required("burst", 0),
        weight: f.optional("weight", catalog::default_weight()),
    }
}

fn key(f: &mut Fields<'_, '_>) -> Key {
    Key {
        workspace: f.required("workspace", String::new()),
        sha256: f.required("sha256", String::new()),
        withdrawn: f.optional("withdrawn", false),
    }
}

fn upstream(f: &mut Fields<'_, '_>) -> Upstream {
    Upstream {
        kind: f.required("kind", UpstreamKind::Service),
        address: f.required("address", SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))),
        zone: f.required("zone", String::new()),
        cell: f.optional("cell", catalog::default_cell()),
        memory_mb: f.optional("memory_mb", 0),
        slots: f.optional("slots", catalog::default_slots()),
        checks_fencing: f.optional("checks_fencing", false),
        draining: f.optional("draining", false),
    }
}

fn route(f: &mut Fields<'_, '_>) -> Route {
    Route {
        prefix: f.required("prefix", String::new()),
        upstreams: f.required("upstreams", Vec::new()),
        repeatable: f.optional("repeatable", false),
        open: f.optional("open", false),
        workspaces: f.optional("workspaces", Vec::new()),
        cost: f.optional("cost", 0),
    }
}
