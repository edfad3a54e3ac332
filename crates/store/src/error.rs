//! Errors of reading and publishing the configuration.

use comfreyweir_external::kv::KvError;
use snafu::Snafu;

/// Why a revision cannot be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The key-value service failed.
    #[snafu(display("configuration cannot be read: {source}"))]
    Service {
        /// What failed.
        source: KvError,
    },
    /// A chunk is neither in the service nor with a peer, or its content does not match its hash.
    #[snafu(display("chunk {hash} of revision {revision} cannot be read from service or peers"))]
    Chunk {
        /// Revision that refers to the chunk.
        revision: u64,
        /// Hash of the chunk.
        hash: String,
    },
    /// The service offered an older revision than the one in force.
    #[snafu(display("the service offered revision {revision}, older than {in_force} in force"))]
    Stale {
        /// What it offered.
        revision: u64,
        /// Revision in force here.
        in_force: u64,
    },
    /// A chunk or a root record cannot be decoded, perhaps because a newer version wrote it.
    #[snafu(display("configuration cannot be decoded: {source}"))]
    Decode {
        /// What was wrong.
        source: serde_json::Error,
    },
}

/// Why a catalog was not published.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PublishError {
    /// Another revision than the expected one is in force. Nothing was changed.
    #[snafu(display("not accepted: revision {current} is in force, not revision {base}"))]
    Conflict {
        /// Revision that the caller has seen.
        base: u64,
        /// Revision in force.
        current: u64,
    },
    /// The service failed before the root record was written. Nothing was changed.
    #[snafu(display("not accepted: {source}"))]
    NotAccepted {
        /// What failed.
        source: KvError,
    },
    /// The root record could not be read. Nothing was changed.
    #[snafu(display("not accepted: {source}"))]
    Unreadable {
        /// What failed.
        source: ReadError,
    },
    /// A single item or the root record is larger than a value of the service may be.
    #[snafu(display("not accepted: {what} has {bytes} bytes, and the service takes {limit}"))]
    TooLarge {
        /// What is too large.
        what: String,
        /// Its size.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The root record was sent and no answer told what became of it. Publishing again with the
    /// same write identifier settles it.
    #[snafu(display("outcome unknown: {source}"))]
    Unknown {
        /// What failed.
        source: KvError,
    },
}
