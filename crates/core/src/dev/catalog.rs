//! Sample configuration of `comfreyweir dev`.

use std::{collections::BTreeMap, net::SocketAddr};

use comfreyweir_config::{
    catalog::{Adapter, Catalog, Key, Model, Route, Upstream, UpstreamKind, Workspace},
    keys,
};

use super::{ENGINE_MEMORY_MB, ZONES};

/// Name of the upstream that is a plain service.
pub(super) const SERVICE_NAME: &str = "booking";
/// Name of the only workspace.
const WORKSPACE_NAME: &str = "demo";

/// Addresses of the upstreams that the stand-ins serve.
pub(super) struct UpstreamAddrs {
    pub(super) engines: [SocketAddr; 2],
    pub(super) service: SocketAddr,
}

/// Name of the engine with this index, as an upstream.
pub(super) fn engine_name(index: usize) -> String {
    format!("engine-{index}")
}

/// Builds a catalog with two models, an adapter, a workspace with one API key, two engines, and two
/// routes to a plain service.
pub(super) fn sample(upstreams: &UpstreamAddrs, key: &str) -> Catalog {
    let workspace = Workspace {
        rate: 5_000,
        burst: 20_000,
        weight: 1,
    };
    let key = Key {
        workspace: WORKSPACE_NAME.to_owned(),
        sha256: keys::hex(&keys::hash(key)),
        withdrawn: false,
    };
    let adapter = Adapter {
        model: "assistant".to_owned(),
        version: "1".to_owned(),
        memory_mb: 200,
        workspaces: Vec::new(),
    };
    Catalog {
        models: [
            ("assistant".to_owned(), model(16_000, 2)),
            ("summaries".to_owned(), model(30_000, 1)),
        ]
        .into(),
        adapters: [("assistant-dispatch".to_owned(), adapter)].into(),
        workspaces: [(WORKSPACE_NAME.to_owned(), workspace)].into(),
        keys: [("demo-1".to_owned(), key)].into(),
        upstreams: all_upstreams(upstreams),
        routes: [
            ("orders".to_owned(), route("/orders", false)),
            ("stock".to_owned(), route("/stock", true)),
        ]
        .into(),
    }
}

fn model(memory_mb: u64, replicas: u32) -> Model {
    Model {
        version: "1".to_owned(),
        memory_mb,
        replicas,
        max_output_tokens: 256,
        bytes_per_token: 4,
        workspaces: Vec::new(),
    }
}

fn route(prefix: &str, repeatable: bool) -> Route {
    Route {
        prefix: prefix.to_owned(),
        upstreams: vec![SERVICE_NAME.to_owned()],
        repeatable,
        open: false,
        workspaces: Vec::new(),
        cost: 0,
    }
}

fn all_upstreams(upstreams: &UpstreamAddrs) -> BTreeMap<String, Upstream> {
    let engines = upstreams.engines.iter().enumerate().map(|(index, addr)| {
        let engine = upstream(UpstreamKind::Engine, *addr, ZONES[index]);
        (engine_name(index), engine)
    });
    let service = upstream(UpstreamKind::Service, upstreams.service, ZONES[0]);
    engines
        .chain([(SERVICE_NAME.to_owned(), service)])
        .collect()
}

fn upstream(kind: UpstreamKind, address: SocketAddr, zone: &str) -> Upstream {
    let is_engine = kind == UpstreamKind::Engine;
    Upstream {
        kind,
        address,
        zone: zone.to_owned(),
        cell: "main".to_owned(),
        memory_mb: if is_engine { ENGINE_MEMORY_MB } else { 0 },
        slots: 8,
        checks_fencing: is_engine,
        draining: false,
    }
}
