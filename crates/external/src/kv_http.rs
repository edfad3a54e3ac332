//! HTTP client of the key-value service.
//!
//! `GET /v1/kv/KEY` and `PUT /v1/kv/KEY?expect=VERSION` answer with the header `x-version`;
//! `GET /v1/watch/KEY?after=VERSION&wait_ms=N` answers 204 when nothing changed. Status 409
//! means a version conflict, 429 that the rate limit is exceeded, and 503 that the service is
//! unavailable. `POST /v1/lease?ttl_ms=N` answers with the identifier of a new lease; `PUT` with
//! `&lease=ID` binds the key to it.

use std::{net::SocketAddr, time::Duration};

use awc::http::StatusCode;
use bytes::Bytes;

use crate::kv::{Kv, KvError, LeaseId, LeasedKv, SwapOutcome, Version, VersionedValue};

/// Header that carries the version of a key.
pub const VERSION_HEADER: &str = "x-version";

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Client of the service over HTTP.
#[derive(Clone)]
pub struct HttpKv {
    http: awc::Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpKv {
    /// Creates a client for the service at `addr`; `timeout` bounds each call.
    pub fn new(http: awc::Client, addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            http,
            addr,
            timeout,
        }
    }

    async fn read(
        &self,
        key: &str,
        path: String,
        timeout: Duration,
    ) -> Result<Option<VersionedValue>, KvError> {
        let req = self.http.get(self.url(&path)).timeout(timeout);
        let mut res = req.send().await.map_err(|e| unavailable(key, &e))?;
        match res.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => return Ok(None),
            status => return Err(status_error(key, status)),
        }
        let version = version_of(key, &res)?;
        let body = res.body().limit(2 * MAX_VALUE_BYTES);
        let value = tokio::time::timeout(timeout, body)
            .await
            .map_err(|e| unavailable(key, &e))?
            .map_err(|e| unavailable(key, &e))?;
        Ok(Some(VersionedValue { version, value }))
    }

    async fn put(&self, key: &str, path: String, value: Bytes) -> Result<SwapOutcome, KvError> {
        let req = self.http.put(self.url(&path)).timeout(self.timeout);
        let res = req
            .send_body(value)
            .await
            .map_err(|e| unavailable(key, &e))?;
        match res.status() {
            StatusCode::OK => Ok(SwapOutcome::Written(version_of(key, &res)?)),
            StatusCode::CONFLICT => Ok(SwapOutcome::Conflict),
            status => Err(status_error(key, status)),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

impl Kv for HttpKv {
    async fn get(&self, key: &str) -> Result<Option<VersionedValue>, KvError> {
        self.read(key, format!("/v1/kv/{key}"), self.timeout).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<SwapOutcome, KvError> {
        self.put(key, format!("/v1/kv/{key}?expect={expected}"), value)
            .await
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<VersionedValue>, KvError> {
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        self.read(key, path, wait + self.timeout).await
    }
}

impl LeasedKv for HttpKv {
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        // No key is involved; errors name the call instead.
        let key = "lease";
        let url = self.url(&format!("/v1/lease?ttl_ms={}", ttl.as_millis()));
        let req = self.http.post(url).timeout(self.timeout);
        let mut res = req.send().await.map_err(|e| unavailable(key, &e))?;
        if res.status() != StatusCode::OK {
            return Err(status_error(key, res.status()));
        }
        let body = res.body().await.map_err(|e| unavailable(key, &e))?;
        str::from_utf8(&body)
            .ok()
            .and_then(|id| id.trim().parse().ok())
            .ok_or_else(|| KvError::Malformed {
                key: key.to_owned(),
                reason: "response without a lease identifier".to_owned(),
            })
    }

    async fn swap_leased(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: LeaseId,
    ) -> Result<SwapOutcome, KvError> {
        self.put(
            key,
            format!("/v1/kv/{key}?expect={expected}&lease={lease}"),
            value,
        )
        .await
    }
}

fn version_of<S>(key: &str, res: &awc::ClientResponse<S>) -> Result<Version, KvError> {
    let header = res.headers().get(VERSION_HEADER);
    header
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .ok_or_else(|| KvError::Malformed {
            key: key.to_owned(),
            reason: "response without a version".to_owned(),
        })
}

fn status_error(key: &str, status: StatusCode) -> KvError {
    if status == StatusCode::TOO_MANY_REQUESTS {
        return KvError::RateLimited {
            key: key.to_owned(),
        };
    }
    unavailable(key, &status)
}

fn unavailable<E>(key: &str, e: &E) -> KvError
where
    E: ToString,
{
    KvError::Unavailable {
        key: key.to_owned(),
        reason: e.to_string(),
    }
}
