//! Calls to the key-value service and to the admin ports of daemons.

use std::{net::SocketAddr, time::Duration};

use comfreyweir_external::kv_http::HttpKv;
use serde_json::Value;

/// Timeout of one call to the key-value service. Longer than in the daemons, because an operator
/// prefers a late answer to none.
const KV_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one call to an admin port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates a client of the key-value service.
pub fn kv_client(addr: SocketAddr) -> HttpKv {
    let http = awc::Client::builder().timeout(KV_TIMEOUT).finish();
    HttpKv::new(http, addr, KV_TIMEOUT)
}

/// Fetches the status page of a daemon. The error is a message for the operator.
pub async fn fetch_status(addr: SocketAddr) -> Result<Value, String> {
    let http = awc::Client::builder().timeout(ADMIN_TIMEOUT).finish();
    let url = format!("http://{addr}/status");
    let fetch = async {
        let mut res = http.get(url).send().await.map_err(|e| e.to_string())?;
        if !res.status().is_success() {
            return Err(format!("status {}", res.status()));
        }
        res.json::<Value>().await.map_err(|e| e.to_string())
    };
    match tokio::time::timeout(ADMIN_TIMEOUT, fetch).await {
        Ok(page) => page,
        Err(_) => Err("no answer in time".to_owned()),
    }
}

/// Revision in force according to the status page of a gate or of a planner.
pub fn revision_in_force(page: &Value) -> Option<u64> {
    page["configuration"]["revision"]
        .as_u64()
        .or_else(|| page["revision"].as_u64())
}
