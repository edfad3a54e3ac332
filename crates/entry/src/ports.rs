//! What an entry instance needs of the platform that it runs on.
//!
//! A platform's crate implements [`Platform`]: it knows names, formats and calls, and decides
//! nothing. Every method is one call; repeating, timing and judging are done here.

use std::{net::SocketAddr, time::Duration};

use actix_http::header::{HeaderMap, HeaderName};
use bytes::Bytes;
use comfreyweir_fleet::{
    config::Config,
    planner::{Order, OrderResult},
    request::Declared,
    upstream::{Report, Upstream},
};
use snafu::Snafu;

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub created: u64,
}

/// Items read at a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Items {
    /// The items.
    pub items: Vec<Item>,
    /// Keys that were removed and not written again, where changes were asked for.
    pub removed: Vec<String>,
    /// Revision of the store.
    pub revision: u64,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// Items that changed, oldest first, up to a revision.
    Changes(Items),
    /// The store no longer has the history since then: read everything again.
    HistoryGone,
}

/// Changes that the store makes together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys with the revision that they must have; 0 for keys that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys with values to write, bound to a lease unless that is 0.
    pub puts: Vec<(String, Bytes, u64)>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Committed {
    /// It was made at a revision.
    Done(u64),
    /// A key was not as expected; nothing was done. The expected keys as they are.
    Conflict(Vec<Item>),
    /// A lease has ended; nothing was done.
    LeaseGone,
}

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its identifier.
    pub id: u64,
    /// Time after which it ends unless it is renewed.
    pub ttl: Duration,
}

/// Why a call to the platform failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// No answer came: what was asked for may have been done, or may be done later.
    #[snafu(display("no answer from {addr}: {reason}"))]
    NoAnswer {
        /// Address that was called.
        addr: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// The call was refused, and nothing was done.
    #[snafu(display("{addr} refused the call with status {status}"))]
    Refused {
        /// Address that was called.
        addr: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
    /// The answer could not be read.
    #[snafu(display("answer of {addr} cannot be decoded: {reason}"))]
    Malformed {
        /// Address that was called.
        addr: SocketAddr,
        /// What is wrong.
        reason: String,
    },
}

/// Something that others wrote and that cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
#[snafu(display("{what}: {reason}"))]
pub struct DecodeError {
    /// What was read.
    pub what: String,
    /// Why it cannot be used.
    pub reason: String,
}

/// Where the platform keeps what its operator and its upstreams write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Key of the operator's configuration.
    pub config: &'static str,
    /// Start of the keys of upstreams; the rest is the upstream's identifier.
    pub upstreams: &'static str,
    /// Start of the keys that the system may write.
    pub own: &'static str,
}

/// Headers of requests and answers, by what they carry.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of the request, both ways.
    pub request_id: HeaderName,
    /// Time that is left, in ms.
    pub deadline: HeaderName,
    /// Key of the caller. Never passed on.
    pub key: HeaderName,
    /// Workspace that the request runs for.
    pub workspace: HeaderName,
    /// Identifier of the upstream that is meant.
    pub expect_upstream: HeaderName,
    /// Urgency at an engine, 0 to 9.
    pub priority: HeaderName,
    /// Last event that the caller has.
    pub last_event: HeaderName,
    /// Signature of an upstream's answer.
    pub seal: HeaderName,
    /// Tells that the upstream did not run the request.
    pub not_run: HeaderName,
    /// Headers that only the system may set.
    pub reserved: Vec<HeaderName>,
}

/// An order with what an engine checks before it accepts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCall {
    /// The order.
    pub order: Order,
    /// Number of orders that the engine must have accepted before.
    pub expected: u64,
    /// Name of this instance as the holder of the planning duty.
    pub holder: String,
    /// Fencing token of the duty.
    pub fence: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// What the planner has to know.
    Result(OrderResult),
    /// Another holder has used a higher fencing token.
    Fenced,
}

/// A platform.
#[allow(clippy::missing_errors_doc)]
pub trait Platform: 'static {
    /// Where things are kept in the store.
    fn keys(&self) -> Keys;

    /// Headers of requests and answers.
    fn headers(&self) -> &Headers;

    /// Reads what a request declares about itself.
    fn declared(&self, headers: &HeaderMap) -> Declared;

    /// Path with which the platform asks whether this instance takes new connections.
    fn ready_path(&self) -> &'static str;

    /// Decodes the operator's configuration. Parts that cannot be used are told.
    fn decode_config(&self, value: &[u8]) -> Result<(Config, Vec<DecodeError>), DecodeError>;

    /// Decodes the entry of an upstream.
    fn decode_upstream(&self, id: &str, value: &[u8]) -> Result<Upstream, DecodeError>;

    /// Reads one item, with the revision of the store.
    async fn get(&self, key: &str, limit: Duration) -> Result<Option<(Item, u64)>, PlatformError>;

    /// Reads the items whose keys begin with a prefix, after a key; true if there are more.
    async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: Duration,
    ) -> Result<(Items, bool), PlatformError>;

    /// Waits for changes of keys with a prefix after a revision, for at most `wait`.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<Watched, PlatformError>;

    /// Makes changes under conditions.
    async fn commit(&self, tx: &Transaction, limit: Duration) -> Result<Committed, PlatformError>;

    /// Asks for a lease.
    async fn grant(&self, ttl: Duration, limit: Duration) -> Result<Lease, PlatformError>;

    /// Renews a lease; false if it has ended.
    async fn renew(&self, lease: u64, limit: Duration) -> Result<bool, PlatformError>;

    /// Ends a lease.
    async fn end(&self, lease: u64, limit: Duration) -> Result<(), PlatformError>;

    /// Gives an engine an order.
    async fn order(
        &self,
        upstream: &Upstream,
        call: &OrderCall,
        limit: Duration,
    ) -> Result<OrderAnswer, PlatformError>;

    /// Asks an engine for its report.
    async fn report(&self, upstream: &Upstream, limit: Duration) -> Result<Report, PlatformError>;
}
