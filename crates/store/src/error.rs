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
    /// Neither the service nor a peer has the chunk with content that matches its hash.
    #[snafu(display("chunk {hash} of revision {revision} cannot be read from service or peers"))]
    Chunk {
        /// Revision that refers to the chunk.
        revision: u64,
        /// Hash of the chunk.
        hash: String,
    },
    /// The service returned an older revision than the one in force.
    #[snafu(display("the service offered revision {revision}, older than {in_force} in force"))]
    Stale {
        /// Revision that the service returned.
        revision: u64,
        /// Revision in force here.
        in_force: u64,
    },
    /// A chunk or a root record cannot be decoded, perhaps because a newer version wrote it.
    #[snafu(display("configuration cannot be decoded: {source}"))]
    Decode {
        /// Error of the decoder.
        source: serde_json::Error,
    },
}

/// Why a catalog was not published, or may not have been.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PublishError {
    /// The revision in force is not the expected one. Nothing was changed.
    #[snafu(display("not accepted: revision {current} is in force, not revision {base}"))]
    Conflict {
        /// Revision on which the caller based its change.
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
    /// A chunk or the root record exceeds the size limit of a value in the service.
    #[snafu(display("not accepted: {what} has {bytes} bytes, and the service takes {limit}"))]
    TooLarge {
        /// Name of the value that is too large.
        what: String,
        /// Size of the value in bytes.
        bytes: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// The root record was sent, and it is not known whether it was written. Publish again with the
    /// same write identifier to find out.
    #[snafu(display("outcome unknown: {source}"))]
    Unknown {
        /// What failed.
        source: KvError,
    },
}
