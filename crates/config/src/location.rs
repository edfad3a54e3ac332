//! Locations in configuration files.

use std::{
    fmt,
    path::{Path, PathBuf},
    rc::Rc,
};

/// Line and column in a text, both counted from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column in characters, not bytes.
    pub column: usize,
}

impl Position {
    /// Position of a byte offset in a text. An offset inside a character counts as its start, and
    /// one past the end as the end.
    pub fn from_offset(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A location in one of the operators' files.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FileLocation {
    /// Path of the file.
    pub file: Rc<PathBuf>,
    /// Position in the file.
    pub position: Position,
}

impl FileLocation {
    /// Location of the first character of a file.
    pub fn start_of(file: &Path) -> Self {
        Self {
            file: Rc::new(file.to_owned()),
            position: Position { line: 1, column: 1 },
        }
    }
}

impl fmt::Display for FileLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.position)
    }
}
