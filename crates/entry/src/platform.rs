//! Interface between an entry instance and the platform that it runs on.
//!
//! A platform's crate implements [`Platform`] with the names, formats and calls of that platform,
//! and contains no policy. Methods that call the store or an engine make one call each; retries,
//! timeouts and decisions are up to this crate.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    StatusCode,
    header::{self, HeaderMap, HeaderName},
};
use bytes::Bytes;
use comfreyweir_fleet::{
    config::Config,
    duty::LeaseId,
    limits::MAX_COLD_TIME,
    planner::{Order, OrderResult},
    request::RequestMetadata,
    upstream::{Report, Upstream},
};
use snafu::Snafu;

/// A key-value pair in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Full key, with its prefix.
    pub key: String,
    /// Raw value; its format depends on the key.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub created: u64,
}

/// Items returned by a range read or a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItems {
    /// The items that were read or changed.
    pub items: Vec<StoreItem>,
    /// In the answer to a watch, keys that were removed and not written again.
    pub removed: Vec<String>,
    /// Store revision of the read, or up to which the changes are complete.
    pub revision: u64,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changed items, oldest first, up to a revision.
    Changes(StoreItems),
    /// The store no longer has the history since the revision: all items must be read again.
    HistoryGone,
}

/// Changes that the store applies atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with their required revisions; 0 for keys that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys and values to write, each with the lease that it is bound to, if any.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The changes were applied at this revision.
    Done(u64),
    /// A key did not have its required revision, and nothing was changed, unless the store has come
    /// back from a copy during the call. Holds the current items of the expected keys.
    Conflict(Vec<StoreItem>),
    /// A lease has expired, and nothing was changed, unless the store has come back from a copy during
    /// the call: the keys may then be bound to a lease of another owner.
    LeaseGone,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Identifier of the lease.
    pub id: LeaseId,
    /// Time after which the lease expires unless it is renewed.
    pub ttl: Duration,
}

/// Why a call to the platform failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// No answer was received: the call may have taken effect, or may do so later.
    #[snafu(display("no answer from {addr}: {reason}"))]
    NoAnswer {
        /// Address that was called.
        addr: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The call was refused and had no effect.
    #[snafu(display("{addr} refused the call with status {status}"))]
    Refused {
        /// Address that was called.
        addr: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// The answer could not be decoded.
    #[snafu(display("answer of {addr} cannot be decoded: {reason}"))]
    Malformed {
        /// Address that was called.
        addr: SocketAddr,
        /// Why it cannot be decoded.
        reason: String,
    },
}

/// Status of the answer to a call beyond the rate that the platform allows.
const TOO_MANY_REQUESTS: u16 = 429;

impl PlatformError {
    /// Whether the call was refused because there were too many.
    pub fn is_rate_limit(&self) -> bool {
        matches!(self, Self::Refused { status, .. } if *status == TOO_MANY_REQUESTS)
    }
}

/// Data written by the operator or an upstream that cannot be decoded or used.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
#[snafu(display("{what}: {reason}"))]
pub struct DecodeError {
    /// Which data it is.
    pub what: String,
    /// Why it cannot be used.
    pub reason: String,
}

/// How much of the answer to a call has arrived.
#[derive(Debug, Default)]
pub struct Progress {
    bytes: Cell<u64>,
}

impl Progress {
    /// Records that `bytes` more have arrived.
    pub fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes as u64);
    }

    /// Bytes that have arrived.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }
}

/// Time limit of a read, whose answer may be large.
#[derive(Clone, Debug)]
pub struct ReadLimit {
    /// Longest time until the answer begins, and between two parts of it.
    pub stall: Duration,
    /// Where the parts that arrive are counted.
    pub progress: Rc<Progress>,
}

impl From<Duration> for ReadLimit {
    fn from(stall: Duration) -> Self {
        Self {
            stall,
            progress: Rc::default(),
        }
    }
}

/// Store keys that the platform prescribes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreKeys {
    /// Key of the operator's configuration.
    pub config: &'static str,
    /// Key prefix of evacuations, followed by the name of an availability zone. Written only by the
    /// operator.
    pub evacuations_prefix: &'static str,
    /// Key prefix of upstreams' entries, followed by the upstream's identifier.
    pub upstreams_prefix: &'static str,
    /// Key prefix that is reserved for this system's own entries.
    pub own_prefix: &'static str,
    /// Key prefix that is reserved for the versions that began streams. Apart from the other entries,
    /// which instances watch.
    pub origins_prefix: &'static str,
}

/// Names of the platform's HTTP headers.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of the request, in requests and answers.
    pub request_id: HeaderName,
    /// Time left to answer the request, in ms.
    pub deadline: HeaderName,
    /// API key of the caller. Never forwarded to upstreams.
    pub key: HeaderName,
    /// Workspace that the request runs for.
    pub workspace: HeaderName,
    /// Identifier of the upstream that the request is meant for.
    pub expect_upstream: HeaderName,
    /// Priority at an engine, 0 to 9.
    pub priority: HeaderName,
    /// Identifier of the last event that the caller received.
    pub last_event: HeaderName,
    /// Signature of an upstream's answer.
    pub seal: HeaderName,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// Set to `1` by an upstream that leaves, in all its answers.
    pub leaving: HeaderName,
    /// Requests a second that an upstream in need takes from all instances together, in all its
    /// answers.
    pub limit: HeaderName,
    /// Time in ms for which an upstream stays cold, in its answers while it is.
    pub cold: HeaderName,
    /// Headers that only the system may set.
    pub reserved: Vec<HeaderName>,
}

/// Value of the header that says that an upstream leaves.
const LEAVING: &[u8] = b"1";

impl HeaderNames {
    /// What an upstream says of itself beside an answer.
    ///
    /// An answer with status 421 may be of another process that has taken over the address, so it
    /// says nothing. A `Retry-After` that is not a positive number of seconds is ignored. If several
    /// limits are named, the lowest holds.
    pub fn notice(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamNotice {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return UpstreamNotice::default();
        }
        let leaving = headers.get(&self.leaving);
        let retry_after = headers
            .get(header::RETRY_AFTER)
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
            .and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok())
            .filter(|seconds| *seconds > 0.0)
            .map(|seconds| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
        UpstreamNotice {
            is_leaving: leaving.is_some_and(|v| v.as_bytes().trim_ascii() == LEAVING),
            closed_for: retry_after,
            limit: self.limit_notice(headers),
            cold_for: self.cold_notice(headers),
        }
    }

    /// The longest time for which an answer says that its upstream stays cold. Values that are no
    /// positive number are ignored.
    fn cold_notice(&self, headers: &HeaderMap) -> Option<Duration> {
        let named = headers.get_all(&self.cold);
        let times = named.filter_map(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
        let times = times.filter(|ms| ms.is_finite() && *ms > 0.0);
        let longest = times.max_by(f64::total_cmp)?;
        let time = Duration::try_from_secs_f64(longest / 1e3).unwrap_or(MAX_COLD_TIME);
        Some(time.min(MAX_COLD_TIME))
    }

    fn limit_notice(&self, headers: &HeaderMap) -> LimitNotice {
        let named = headers.get_all(&self.limit);
        let limits: Option<Vec<_>> = named
            .map(|v| v.to_str().ok()?.trim().parse::<f64>().ok())
            .map(|limit| limit.filter(|limit| limit.is_finite() && *limit >= 0.0))
            .collect();
        match limits {
            None => LimitNotice::Unusable,
            Some(limits) => limits
                .into_iter()
                .min_by(f64::total_cmp)
                .map_or(LimitNotice::Absent, LimitNotice::Named),
        }
    }
}

/// What an answer says of a limit on the requests a second that its upstream takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// Nothing: there is no answer, or it may be of another process.
    #[default]
    Unknown,
    /// The answer names no limit.
    Absent,
    /// It names a value that cannot be a limit.
    Unusable,
    /// It names this limit, in requests a second from all instances together.
    Named(f64),
}

/// What an upstream says of itself beside an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Whether it leaves: it takes no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this instance.
    pub closed_for: Option<Duration>,
    /// Limit on the requests that it takes from all instances.
    pub limit: LimitNotice,
    /// Time for which it stays cold, if it is.
    pub cold_for: Option<Duration>,
}

/// Outcome of a call to an engine.
#[derive(Debug)]
pub struct EngineAnswer<T> {
    /// The answer.
    pub result: Result<T, PlatformError>,
    /// What the engine said of itself beside it.
    pub notice: UpstreamNotice,
}

/// An order to an engine, with the values that the engine checks before it accepts the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCall {
    /// What the engine is to load or unload.
    pub order: Order,
    /// Number of orders that the engine must have accepted before.
    pub expected: u64,
    /// Name of the process that holds the planning duty.
    pub holder: String,
    /// Fencing token of the duty.
    pub fence: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order's result, to be passed to the planner.
    Result(OrderResult),
    /// The engine has already seen a higher fencing token, so another process now holds the duty.
    Fenced,
}

/// The platform that an entry instance runs on.
///
/// `limit` is the timeout of a call. Reads and watches end only if nothing arrives for so long: how large
/// an answer is, and how long a thin link takes for it, is not up to this crate.
#[allow(clippy::missing_errors_doc)]
pub trait Platform: 'static {
    /// Keys and key prefixes in the store.
    fn keys(&self) -> StoreKeys;

    /// Names of the HTTP headers.
    fn headers(&self) -> &HeaderNames;

    /// Parses what a request's headers declare about the request.
    fn parse_declared(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Path of the load balancer's readiness check.
    fn ready_path(&self) -> &'static str;

    /// Decodes the operator's configuration. Invalid parts are left out and returned as errors. Parts that
    /// are the same as in the one that was decoded before are shared with it.
    fn decode_config(&self, value: &Bytes) -> Result<(Config, Vec<DecodeError>), DecodeError>;

    /// Decodes the entry of an upstream.
    fn decode_upstream(&self, id: &str, value: &[u8]) -> Result<Upstream, DecodeError>;

    /// The latest era of the store that an answer has shown; none if none has yet. It rises when the
    /// store has come back from a copy and has lost what was written since. Revisions rise over all
    /// eras.
    fn store_era(&self) -> Option<u64>;

    /// Waits until the latest era is not `known`, and returns it.
    async fn store_era_changed(&self, known: Option<u64>) -> Option<u64>;

    /// Has calls to the store that begin from now on use new connections: open ones may have stopped
    /// delivering data without an error. Calls in progress go on.
    fn renew_connections(&self);

    /// Reads one item, with the revision of the store; none if the key does not exist.
    async fn get(
        &self,
        key: &str,
        limit: ReadLimit,
    ) -> Result<Option<(StoreItem, u64)>, PlatformError>;

    /// Reads a page of the items whose keys begin with `prefix`, from the first key after `after`.
    /// Returns true if there are more.
    async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: ReadLimit,
    ) -> Result<(StoreItems, bool), PlatformError>;

    /// Waits for changes of keys with a prefix after the revision `after`, for at most `wait`.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        limit: ReadLimit,
    ) -> Result<WatchOutcome, PlatformError>;

    /// Applies a transaction if its conditions hold. It is not sent if a lease is of another era than
    /// the latest; that lease has expired.
    async fn commit(
        &self,
        tx: &Transaction,
        limit: Duration,
    ) -> Result<CommitOutcome, PlatformError>;

    /// Requests a lease. The store may grant another lifetime than `ttl`.
    async fn grant_lease(&self, ttl: Duration, limit: Duration) -> Result<Lease, PlatformError>;

    /// Renews a lease; false if it has already expired. A lease of another era than the latest has
    /// expired, and no call is made for it.
    async fn renew_lease(&self, lease: LeaseId, limit: Duration) -> Result<bool, PlatformError>;

    /// Ends a lease, which removes the keys bound to it. No call is made for a lease of another era
    /// than the latest.
    async fn end_lease(&self, lease: LeaseId, limit: Duration) -> Result<(), PlatformError>;

    /// Sends an order to an engine.
    async fn send_order(
        &self,
        upstream: &Upstream,
        call: &OrderCall,
        limit: Duration,
    ) -> EngineAnswer<OrderAnswer>;

    /// Requests an engine's report of its state. An engine may answer an earlier request once more.
    async fn request_report(&self, upstream: &Upstream, limit: Duration) -> EngineAnswer<Report>;

    /// Like [`Self::request_report`], in a way that the answer is certainly to this request.
    async fn request_new_report(
        &self,
        upstream: &Upstream,
        limit: Duration,
    ) -> EngineAnswer<Report>;
}
