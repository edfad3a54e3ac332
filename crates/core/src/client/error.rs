//! Errors of the client and the exit codes they end with.

use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

use comfreyweir_config::folder::FolderError;
use comfreyweir_store::{PublishError, ReadError};
use serde_json::{Value, json};
use snafu::Snafu;

use super::{changes::Change, output::push_line};

/// Something failed; nothing was changed.
pub const EXIT_FAILED: u8 = 1;
/// The command line or the folder has mistakes; nothing was changed.
pub const EXIT_USAGE: u8 = 2;
/// Not accepted, because another revision is in force than the one that the folder has seen.
pub const EXIT_CONFLICT: u8 = 3;
/// It is not known whether the change was accepted.
pub const EXIT_UNKNOWN: u8 = 4;
/// Accepted, and not in force everywhere within the wait.
pub const EXIT_NOT_IN_FORCE: u8 = 5;
/// `diff` found differences.
pub const EXIT_DIFFERENT: u8 = 6;

/// Why a command failed.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ClientError {
    /// The arguments do not fit together.
    #[snafu(display("{message}; see `comfreyweir {command} --help`"))]
    Usage {
        /// The command.
        command: &'static str,
        /// What is wrong.
        message: String,
    },
    /// The folder gives no catalog.
    #[snafu(display("{source}"))]
    Folder {
        /// What is wrong.
        source: FolderError,
    },
    /// A file of the client cannot be read or written.
    #[snafu(display("{} cannot be used: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The state file is damaged.
    #[snafu(display(
        "{} is damaged ({source}): remove it, look at `comfreyweir diff`, and apply with --over",
        path.display()
    ))]
    State {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// Another client works on the folder.
    #[snafu(display("another comfreyweir works on {}", dir.display()))]
    Busy {
        /// The folder.
        dir: PathBuf,
    },
    /// The service's configuration cannot be read.
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
    #[snafu(display("{}", conflict(*seen, *current, changes)))]
    Conflict {
        /// Revision that the folder has seen.
        seen: u64,
        /// Revision in force.
        current: u64,
        /// What others changed.
        changes: Vec<Change>,
    },
    /// The service holds an older revision than the folder has seen.
    #[snafu(display(
        "not accepted: the service holds revision {current} and this folder has seen revision \
         {seen}, so the service has lost revisions; --overwrite replaces what it holds"
    ))]
    Lost {
        /// Revision that the folder has seen.
        seen: u64,
        /// Revision of the service.
        current: u64,
    },
    /// Nothing of that name is declared.
    #[snafu(display("{what} `{name}` is not declared in {}", dir.display()))]
    NotDeclared {
        /// What was named.
        what: &'static str,
        /// The name.
        name: String,
        /// The folder.
        dir: PathBuf,
    },
    /// Something of that name exists.
    #[snafu(display("key `{id}` exists already in {}", dir.display()))]
    KeyExists {
        /// Identifier of the key.
        id: String,
        /// The folder.
        dir: PathBuf,
    },
    /// A setting of a later file wins over the one that the client wrote.
    #[snafu(display("{} has no effect: a later file of the folder overrides it", path.display()))]
    Overridden {
        /// The file that the client wrote.
        path: PathBuf,
    },
    /// Accepted, but some instances do not have it in force.
    #[snafu(display(
        "accepted as revision {revision}, but after {} s not in force on {}",
        waited.as_secs(),
        behind.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    ))]
    NotInForce {
        /// The revision.
        revision: u64,
        /// How long was waited.
        waited: Duration,
        /// Admin addresses of the instances that are behind.
        behind: Vec<SocketAddr>,
    },
}

impl ClientError {
    /// Exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. }
            | Self::NotDeclared { .. }
            | Self::KeyExists { .. }
            | Self::Folder {
                source: FolderError::Mistakes { .. } | FolderError::Empty { .. },
            } => EXIT_USAGE,
            Self::Conflict { .. }
            | Self::Lost { .. }
            | Self::Publish {
                source: PublishError::Conflict { .. },
            } => EXIT_CONFLICT,
            Self::Publish {
                source: PublishError::Unknown { .. },
            } => EXIT_UNKNOWN,
            Self::NotInForce { .. } => EXIT_NOT_IN_FORCE,
            _ => EXIT_FAILED,
        }
    }

    /// The error for scripts.
    pub fn json(&self) -> Value {
        let outcome = match self.exit_code() {
            EXIT_UNKNOWN => "unknown",
            EXIT_NOT_IN_FORCE => "accepted",
            _ => "not accepted",
        };
        let mut value = json!({ "outcome": outcome, "error": self.to_string() });
        match self {
            Self::Folder {
                source: FolderError::Mistakes { mistakes },
            } => {
                let one = |m: &comfreyweir_config::Mistake| {
                    json!({
                        "file": m.place.file.display().to_string(),
                        "line": m.place.position.line,
                        "column": m.place.position.column,
                        "message": m.text,
                    })
                };
                value["mistakes"] = mistakes.iter().map(one).collect();
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

fn conflict(seen: u64, current: u64, changes: &[Change]) -> String {
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
