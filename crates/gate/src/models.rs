//! `GET /v1/models`: the models and adapters that a workspace may use.

use actix_http::{
    HttpMessage, Request, Response, StatusCode,
    body::BoxBody,
    header::{self, HeaderValue},
};
use comfreyweir_config::catalog::Catalog;
use serde::Serialize;

use crate::{Refusal, auth, context::GateContext};

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Lists the models and adapters of the caller's workspace in the format of the `OpenAI` API.
pub(crate) fn serve<A, V>(
    cx: &GateContext<A, V>,
    req: &Request,
) -> Result<Response<BoxBody>, Refusal> {
    let snapshot = cx.follower.current();
    let identity = auth::authenticate(&snapshot, req.headers())?;
    let list = ModelList {
        object: "list",
        data: usable_models(&snapshot.catalog, &identity.workspace),
    };
    let body = serde_json::to_string(&list).expect("a list of names is serializable");
    let mut res = Response::build(StatusCode::OK);
    res.insert_header((
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    ));
    Ok(res.body(body).map_into_boxed_body())
}

fn usable_models(catalog: &Catalog, workspace: &str) -> Vec<ModelEntry> {
    let models = catalog
        .models
        .iter()
        .filter(|(_, m)| may_use(&m.workspaces, workspace))
        .map(|(name, _)| name);
    let adapters = catalog
        .adapters
        .iter()
        .filter(|(_, a)| may_use(&a.workspaces, workspace))
        .map(|(name, _)| name);
    models
        .chain(adapters)
        .map(|name| model_entry(name))
        .collect()
}

fn model_entry(name: &str) -> ModelEntry {
    ModelEntry {
        id: name.to_owned(),
        object: "model",
        created: 0,
        owned_by: "comfreyweir",
    }
}

/// Whether `workspaces`, the list of a model or adapter, admits `workspace`. An empty list admits
/// all.
pub(crate) fn may_use(workspaces: &[String], workspace: &str) -> bool {
    workspaces.is_empty() || workspaces.iter().any(|w| w == workspace)
}
