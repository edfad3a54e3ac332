//! Reads the operators' folder of TOML files into a catalog.

use std::{
    io,
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu, ensure};

use crate::{
    build, catalog::Catalog, check, findings::Findings, findings::Mistake, merge, source_file,
    source_file::SourceFile,
};

/// Why no catalog could be built from a folder.
#[derive(Debug)]
#[derive(Snafu)]
pub enum FolderError {
    /// The folder or a file in it cannot be read.
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read {
        /// Folder or file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The folder contains no configuration file.
    #[snafu(display("{} holds no file that ends in .toml", dir.display()))]
    Empty {
        /// The folder.
        dir: PathBuf,
    },
    /// The files have mistakes. All of them are reported together.
    #[snafu(display("{}", join_mistakes(mistakes)))]
    Mistakes {
        /// The mistakes, sorted by file and position.
        mistakes: Vec<Mistake>,
    },
}

/// Reads, merges and checks the files of a folder.
///
/// Returns a catalog only when no file has a mistake.
pub fn read(dir: &Path) -> Result<Catalog, FolderError> {
    let sources = read_sources(dir)?;
    let mut findings = Findings::default();
    let merged = merge::merge_files(&sources, &mut findings);
    let catalog = build::build_catalog(merged, &mut findings);
    check::check_catalog(&catalog, &mut findings);
    let mistakes = findings.into_mistakes();
    ensure!(mistakes.is_empty(), MistakesSnafu { mistakes });
    Ok(catalog)
}

fn read_sources(dir: &Path) -> Result<Vec<SourceFile>, FolderError> {
    let files = source_file::list_files(dir).context(ReadSnafu { path: dir })?;
    ensure!(!files.is_empty(), EmptySnafu { dir });
    let mut sources = Vec::with_capacity(files.len());
    for path in files {
        let result = SourceFile::read(path.clone());
        sources.push(result.context(ReadSnafu { path })?);
    }
    Ok(sources)
}

fn join_mistakes(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
