//! Places in the operators' files.

use std::{
    fmt,
    path::{Path, PathBuf},
    rc::Rc,
};

/// Line and column, both counted from one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Line.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

impl Position {
    /// Position of a byte offset in a text.
    pub fn of(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
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

/// A place in one of the files.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The file.
    pub file: Rc<PathBuf>,
    /// Where in the file.
    pub position: Position,
}

impl Place {
    /// Start of a file.
    pub fn start_of(file: &Path) -> Self {
        Self {
            file: Rc::new(file.to_owned()),
            position: Position { line: 1, column: 1 },
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.position)
    }
}
