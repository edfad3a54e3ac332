//! Lists and reads the TOML files of the operators' folder.

use std::{
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
};

use crate::location::{FileLocation, Position};

/// Extension of the files that belong to the configuration.
const EXTENSION: &str = "toml";

/// A file of the configuration with its text.
#[derive(Debug)]
pub(crate) struct SourceFile {
    path: Rc<PathBuf>,
    pub(crate) text: String,
}

impl SourceFile {
    pub(crate) fn read(path: PathBuf) -> io::Result<Self> {
        let text = fs::read_to_string(&path)?;
        let path = Rc::new(path);
        Ok(Self { path, text })
    }

    /// Location of a byte offset in the file.
    pub(crate) fn location(&self, offset: usize) -> FileLocation {
        FileLocation {
            file: Rc::clone(&self.path),
            position: Position::from_offset(&self.text, offset),
        }
    }
}

/// Configuration files of a folder in merge order, which is the byte order of their names. Hidden
/// files and files with other extensions are left out.
pub(crate) fn list_files(dir: &Path) -> io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if is_config_file(&path) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn is_config_file(path: &Path) -> bool {
    let hidden = path
        .file_name()
        .is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
    let toml = path.extension().is_some_and(|e| e == EXTENSION);
    toml && !hidden && path.is_file()
}
