//! Builds the catalog from the merged files.

use std::net::{Ipv4Addr, SocketAddr};

use crate::{
    catalog::{self, Adapter, Catalog, Key, Model, Route, Upstream, UpstreamKind, Workspace},
    fields::FieldReader,
    findings::{Findings, Section},
    merge::MergedItems,
};

/// Builds every item. Fields that are missing or cannot be read get a fallback value, so that the
/// checks of the catalog can report further mistakes in the same run.
pub(crate) fn build_catalog(merged: MergedItems<'_>, findings: &mut Findings) -> Catalog {
    let mut catalog = Catalog::default();
    for (id, values) in merged {
        let (section, name) = id.clone();
        let mut reader = FieldReader::new(id, values, findings);
        let fields = &mut reader;
        match section {
            Section::Models => drop(catalog.models.insert(name, read_model(fields))),
            Section::Adapters => drop(catalog.adapters.insert(name, read_adapter(fields))),
            Section::Workspaces => drop(catalog.workspaces.insert(name, read_workspace(fields))),
            Section::Keys => drop(catalog.keys.insert(name, read_key(fields))),
            Section::Upstreams => drop(catalog.upstreams.insert(name, read_upstream(fields))),
            Section::Routes => drop(catalog.routes.insert(name, read_route(fields))),
        }
        reader.report_unknown();
    }
    catalog
}

fn read_model(fields: &mut FieldReader<'_, '_>) -> Model {
    Model {
        version: fields.required("version", String::new()),
        memory_mb: fields.required("memory_mb", 0),
        replicas: fields.optional("replicas", catalog::default_replicas()),
        max_output_tokens: fields.optional("max_output_tokens", catalog::default_output_tokens()),
        bytes_per_token: fields.optional("bytes_per_token", catalog::default_bytes_per_token()),
        workspaces: fields.optional("workspaces", Vec::new()),
    }
}

fn read_adapter(fields: &mut FieldReader<'_, '_>) -> Adapter {
    Adapter {
        model: fields.required("model", String::new()),
        version: fields.required("version", String::new()),
        memory_mb: fields.required("memory_mb", 0),
        workspaces: fields.optional("workspaces", Vec::new()),
    }
}

fn read_workspace(fields: &mut FieldReader<'_, '_>) -> Workspace {
    Workspace {
        rate: fields.required("rate", 0),
        burst: fields.required("burst", 0),
        weight: fields.optional("weight", catalog::default_weight()),
    }
}

fn read_key(fields: &mut FieldReader<'_, '_>) -> Key {
    Key {
        workspace: fields.required("workspace", String::new()),
        sha256: fields.required("sha256", String::new()),
        withdrawn: fields.optional("withdrawn", false),
    }
}

fn read_upstream(fields: &mut FieldReader<'_, '_>) -> Upstream {
    Upstream {
        kind: fields.required("kind", UpstreamKind::Service),
        address: fields.required("address", SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))),
        zone: fields.required("zone", String::new()),
        cell: fields.optional("cell", catalog::default_cell()),
        memory_mb: fields.optional("memory_mb", 0),
        slots: fields.optional("slots", catalog::default_slots()),
        checks_fencing: fields.optional("checks_fencing", false),
        draining: fields.optional("draining", false),
    }
}

fn read_route(fields: &mut FieldReader<'_, '_>) -> Route {
    Route {
        prefix: fields.required("prefix", String::new()),
        upstreams: fields.required("upstreams", Vec::new()),
        repeatable: fields.optional("repeatable", false),
        open: fields.optional("open", false),
        workspaces: fields.optional("workspaces", Vec::new()),
        cost: fields.optional("cost", 0),
    }
}
