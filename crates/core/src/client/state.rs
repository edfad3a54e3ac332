//! State that a folder keeps between commands, in a file of its own.
//!
//! The last revision seen keeps `apply` from overwriting changes that the operator does not know
//! of. A write is recorded before it is sent, so that the next command can find out whether it took
//! effect, even if this one is killed.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use comfreyweir_config::catalog::Catalog;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tempfile::NamedTempFile;

use super::error::{ClientError, DamagedStateSnafu, FileSnafu};

const STATE_FILE: &str = ".comfreyweir-state.json";
const LOCK_FILE: &str = ".comfreyweir-lock";

/// Content of the state file of a folder.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct FolderState {
    /// Last revision that the folder has seen; zero if none.
    pub revision: u64,
    /// Catalog of that revision.
    pub catalog: Catalog,
    /// Write whose outcome is not known yet.
    pub pending: Option<PendingWrite>,
}

/// Write that was sent, or is about to be sent.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct PendingWrite {
    /// Identifier by which the write is recognized in the root record of the configuration.
    pub write_id: String,
    /// Catalog of the write.
    pub catalog: Catalog,
}

/// State of a folder, with an exclusive lock on the folder until this is dropped.
pub struct LockedState {
    path: PathBuf,
    /// State as read when the folder was locked; changes are kept only by [`Self::save`].
    pub state: FolderState,
    _lock: File,
}

impl LockedState {
    /// Locks a folder and reads its state. Fails with [`ClientError::FolderLocked`] if another
    /// process holds the lock.
    pub fn open(dir: &Path) -> Result<Self, ClientError> {
        let lock_path = dir.join(LOCK_FILE);
        let lock = File::create(&lock_path).context(FileSnafu { path: &lock_path })?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => {
                return Err(ClientError::FolderLocked {
                    dir: dir.to_owned(),
                });
            }
            Err(fs::TryLockError::Error(source)) => {
                return Err(source).context(FileSnafu { path: &lock_path });
            }
        }
        let path = dir.join(STATE_FILE);
        let state = read_state(&path)?;
        Ok(Self {
            path,
            state,
            _lock: lock,
        })
    }

    /// Replaces the state file atomically: a crash leaves either the old or the new one.
    pub fn save(&self) -> Result<(), ClientError> {
        write_state(&self.path, &self.state).context(FileSnafu { path: &self.path })
    }
}

fn read_state(path: &Path) -> Result<FolderState, ClientError> {
    match fs::read(path) {
        Ok(content) => serde_json::from_slice(&content).context(DamagedStateSnafu { path }),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(FolderState::default()),
        Err(e) => Err(e).context(FileSnafu { path }),
    }
}

fn write_state(path: &Path, state: &FolderState) -> io::Result<()> {
    let dir = path.parent().unwrap_or(Path::new("."));
    let mut file = NamedTempFile::new_in(dir)?;
    serde_json::to_writer(&mut file, state)?;
    file.flush()?;
    file.as_file().sync_all()?;
    file.persist(path)?;
    Ok(())
}
