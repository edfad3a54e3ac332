//! The files of the operators' folder.

use std::{
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
};

use crate::location::{Place, Position};

/// Extension of the files that belong to the configuration.
const EXTENSION: &str = "toml";

/// One file.
#[derive(Debug)]
pub(crate) struct Source {
    path: Rc<PathBuf>,
    pub(crate) text: String,
}

impl Source {
    /// Reads a file.
    pub(crate) fn read(path: PathBuf) -> io::Result<Self> {
        let text = fs::read_to_string(&path)?;
        let path = Rc::new(path);
        Ok(Self { path, text })
    }

    /// Place of a byte offset.
    pub(crate) fn place(&self, offset: usize) -> Place {
        Place {
            file: Rc::clone(&self.path),
            position: Position::of(&self.text, offset),
        }
    }
}

/// Files of a folder in the order in which they are merged: by the bytes of their names. Hidden
/// files and those with other extensions do not belong to the configuration.
pub(crate) fn list(dir: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if belongs(&path) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn belongs(path: &Path) -> bool {
    let hidden = path
        .file_name()
        .is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
    let toml = path.extension().is_some_and(|e| e == EXTENSION);
    toml && !hidden && path.is_file()
}
