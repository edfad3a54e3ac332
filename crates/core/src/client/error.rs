//! Errors of the client and their exit codes.

use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

use comfreyweir_config::folder::FolderError;
use comfreyweir_store::{PublishError, ReadError};
use serde_json::{Value, json};
use snafu::Snafu;

use super::{changes::Change, output::push_line};

/// The command failed and changed nothing; for `status`, an instance did not answer.
pub const EXIT_FAILED: u8 = 1;
/// The command line or the folder is invalid; nothing was changed.
pub const EXIT_USAGE: u8 = 2;
/// The change was not accepted: the revision in force is not the one that the folder has seen.
pub const EXIT_CONFLICT: u8 = 3;
/// Whether the change was accepted is unknown.
pub const EXIT_OUTCOME_UNKNOWN: u8 = 4;
/// The change was accepted, but was not in force on every instance within the timeout of `--wait`.
pub const EXIT_NOT_IN_FORCE: u8 = 5;
/// `diff` found differences.
pub const EXIT_DIFFERENCES: u8 = 6;

/// Error with which a command fails.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ClientError {
    /// An argument is missing or invalid, or the arguments exclude each other.
    #[snafu(display("{message}; see `comfreyweir {command} --help`"))]
    Usage {
        /// Command as it is typed.
        command: &'static str,
        /// What is wrong.
        message: String,
    },
    /// The folder cannot be read or is invalid.
    #[snafu(display("{source}"))]
    Folder {
        /// What is wrong.
        source: FolderError,
    },
    /// A file that the client keeps in the folder cannot be read or written.
    #[snafu(display("{} cannot be used: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The state file of the folder cannot be parsed.
    #[snafu(display(
        "{} is damaged ({source}): remove it, look at `comfreyweir diff`, and apply with --over",
        path.display()
    ))]
    DamagedState {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// Another client holds the lock on the folder.
    #[snafu(display("another comfreyweir command is using {}", dir.display()))]
    FolderLocked {
        /// The folder.
        dir: PathBuf,
    },
    /// The configuration cannot be read from the key-value service.
    #[snafu(display("{source}"))]
    Read {
        /// What failed.
        source: ReadError,
    },
    /// The change was not accepted, or its outcome is not known.
    #[snafu(display("{source}"))]
    Publish {
        /// What failed.
        source: PublishError,
    },
    /// Others have changed the configuration since this folder last saw it.
    #[snafu(display("{}", conflict_message(*seen, *current, changes)))]
    Conflict {
        /// Revision that the folder has seen.
        seen: u64,
        /// Revision in force.
        current: u64,
        /// Changes of others since `seen`; empty if they are not known.
        changes: Vec<Change>,
    },
    /// The key-value service holds an older revision than the folder has seen, so it has lost some.
    #[snafu(display(
        "not accepted: the service holds revision {current} and this folder has seen revision \
         {seen}, so the service has lost revisions; --overwrite replaces what it holds"
    ))]
    RevisionsLost {
        /// Revision that the folder has seen.
        seen: u64,
        /// Revision that the service holds.
        current: u64,
    },
    /// The folder declares no such item.
    #[snafu(display("{kind} `{name}` is not declared in {}", dir.display()))]
    NotDeclared {
        /// Kind of the item: `workspace`, `key` or `upstream`.
        kind: &'static str,
        /// The name.
        name: String,
        /// The folder.
        dir: PathBuf,
    },
    /// The folder already declares a key with that identifier.
    #[snafu(display("key `{id}` exists already in {}", dir.display()))]
    KeyExists {
        /// Identifier of the key.
        id: String,
        /// The folder.
        dir: PathBuf,
    },
    /// A later file of the folder overrides the setting that the client wrote.
    #[snafu(display("{} has no effect: a later file of the folder overrides it", path.display()))]
    Overridden {
        /// The file that the client wrote.
        path: PathBuf,
    },
    /// The change was accepted, but is not in force on some instances after the wait.
    #[snafu(display(
        "accepted as revision {revision}, but after {} s not in force on {}",
        waited.as_secs(),
        behind.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    ))]
    NotInForce {
        /// Revision of the change.
        revision: u64,
        /// Duration of the wait.
        waited: Duration,
        /// Admin addresses of the instances that do not have it in force, or did not answer.
        behind: Vec<SocketAddr>,
    },
}

impl ClientError {
    /// Exit code with which the client ends.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. }
            | Self::NotDeclared { .. }
            | Self::KeyExists { .. }
            | Self::Folder {
                source: FolderError::Mistakes { .. } | FolderError::Empty { .. },
            } => EXIT_USAGE,
            Self::Conflict { .. }
            | Self::RevisionsLost { .. }
            | Self::Publish {
                source: PublishError::Conflict { .. },
            } => EXIT_CONFLICT,
            Self::Publish {
                source: PublishError::Unknown { .. },
            } => EXIT_OUTCOME_UNKNOWN,
            Self::NotInForce { .. } => EXIT_NOT_IN_FORCE,
            _ => EXIT_FAILED,
        }
    }

    /// The error as printed with `--json`.
    pub fn json(&self) -> Value {
        let outcome = match self.exit_code() {
            EXIT_OUTCOME_UNKNOWN => "unknown",
            EXIT_NOT_IN_FORCE => "accepted",
            _ => "not accepted",
        };
        let mut value = json!({ "outcome": outcome, "error": self.to_string() });
        match self {
            Self::Folder {
                source: FolderError::Mistakes { mistakes },
            } => {
                let mistake_json = |m: &comfreyweir_config::Mistake| {
                    json!({
                        "file": m.location.file.display().to_string(),
                        "line": m.location.position.line,
                        "column": m.location.position.column,
                        "message": m.text,
                    })
                };
                value["mistakes"] = mistakes.iter().map(mistake_json).collect();
            }
            Self::Conflict {
                seen,
                current,
                changes,
            } => {
                value["seen"] = json!(seen);
                value["current"] = json!(current);
                value["changes"] = json!(changes);
            }
            Self::NotInForce {
                revision, behind, ..
            } => {
                value["revision"] = json!(revision);
                value["behind"] = json!(behind);
            }
            _ => {}
        }
        value
    }
}

fn conflict_message(seen: u64, current: u64, changes: &[Change]) -> String {
    let mut text = format!(
        "not accepted: revision {current} is in force, and this folder has seen revision {seen}\n"
    );
    text += if changes.is_empty() {
        "what changed since is not known; `comfreyweir diff` compares the folder with it\n"
    } else {
        "changed by others since:\n"
    };
    for change in changes {
        push_line(&mut text, &format!("  {change}"));
    }
    text + &format!("take these changes into the folder, then apply with `--over {current}`")
}
