//! What a folder remembers between two commands.
//!
//! The last revision that the folder has seen keeps `apply` from overwriting changes that its
//! operator does not know of. A write whose outcome is not known is remembered before it is sent,
//! so that the next command can settle it even if this one is killed.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use comfreyweir_config::catalog::Catalog;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tempfile::NamedTempFile;

use super::error::{ClientError, FileSnafu, StateSnafu};

const STATE_FILE: &str = ".comfreyweir-state.json";
const LOCK_FILE: &str = ".comfreyweir-lock";

/// State of a folder.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct State {
    /// Last revision that the folder has seen; zero when none.
    pub revision: u64,
    /// The catalog of that revision.
    pub catalog: Catalog,
    /// A write whose outcome was not known.
    pub pending: Option<Pending>,
}

/// A write that was begun.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Pending {
    /// Identifier of the write.
    pub write_id: String,
    /// What was written.
    pub catalog: Catalog,
}

/// A folder whose state this process alone may change.
pub struct LockedState {
    path: PathBuf,
    /// What the folder remembers.
    pub state: State,
    _lock: File,
}

impl LockedState {
    /// Locks a folder and reads its state.
    pub fn open(dir: &Path) -> Result<Self, ClientError> {
        let lock_path = dir.join(LOCK_FILE);
        let lock = File::create(&lock_path).context(FileSnafu { path: &lock_path })?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => {
                return Err(ClientError::Busy {
                    dir: dir.to_owned(),
                });
            }
            Err(fs::TryLockError::Error(source)) => {
                return Err(source).context(FileSnafu { path: &lock_path });
            }
        }
        let path = dir.join(STATE_FILE);
        let state = read(&path)?;
        Ok(Self {
            path,
            state,
            _lock: lock,
        })
    }

    /// Writes the state; a crash leaves either the old or the new one.
    pub fn save(&self) -> Result<(), ClientError> {
        write(&self.path, &self.state).context(FileSnafu { path: &self.path })
    }
}

fn read(path: &Path) -> Result<State, ClientError> {
    match fs::read(path) {
        Ok(content) => serde_json::from_slice(&content).context(StateSnafu { path }),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(State::default()),
        Err(e) => Err(e).context(FileSnafu { path }),
    }
}

fn write(path: &Path, state: &State) -> io::Result<()> {
    let dir = path.parent().unwrap_or(Path::new("."));
    let mut file = NamedTempFile::new_in(dir)?;
    serde_json::to_writer(&mut file, state)?;
    file.flush()?;
    file.as_file().sync_all()?;
    file.persist(path)?;
    Ok(())
}
