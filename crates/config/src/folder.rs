//! The operators' folder of TOML files.

use std::{
    io,
    path::{Path, PathBuf},
};

use snafu::{ResultExt, Snafu, ensure};

use crate::{
    build, catalog::Catalog, check, findings::Findings, findings::Mistake, merge, source_file,
    source_file::Source,
};

/// Why a folder gives no catalog.
#[derive(Debug)]
#[derive(Snafu)]
pub enum FolderError {
    /// The folder or a file in it cannot be read.
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Read {
        /// Folder or file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// There is no configuration in the folder.
    #[snafu(display("{} holds no file that ends in .toml", dir.display()))]
    Empty {
        /// The folder.
        dir: PathBuf,
    },
    /// The files have mistakes; these are all.
    #[snafu(display("{}", lines(mistakes)))]
    Mistakes {
        /// The mistakes in the order of the files.
        mistakes: Vec<Mistake>,
    },
}

/// Reads, merges and checks the files of a folder.
pub fn read(dir: &Path) -> Result<Catalog, FolderError> {
    let sources = read_sources(dir)?;
    let mut findings = Findings::default();
    let merged = merge::merge(&sources, &mut findings);
    let catalog = build::build(merged, &mut findings);
    check::check(&catalog, &mut findings);
    let mistakes = findings.into_mistakes();
    ensure!(mistakes.is_empty(), MistakesSnafu { mistakes });
    Ok(catalog)
}

fn read_sources(dir: &Path) -> Result<Vec<Source>, FolderError> {
    let files = source_file::list(dir).context(ReadSnafu { path: dir })?;
    ensure!(!files.is_empty(), EmptySnafu { dir });
    let mut sources = Vec::with_capacity(files.len());
    for path in files {
        let read = Source::read(path.clone());
        sources.push(read.context(ReadSnafu { path })?);
    }
    Ok(sources)
}

fn lines(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
