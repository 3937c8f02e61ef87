//! Reading a folder of files.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use sycamorerill_core::model::Config;

use crate::document;
use crate::merge::MergedSettings;
use crate::problem::{Problem, ProblemKind, Report};
use crate::source::{Location, Source};

/// Maximum size of a file in bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;
/// Maximum number of files in a folder.
pub const MAX_FILES: usize = 10_000;
/// Extension of configuration files.
const EXTENSION: &str = "toml";

/// Errors of reading a folder as a whole.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FolderError {
    /// The folder cannot be listed.
    #[error("the folder `{path}` cannot be read: {reason}")]
    #[diagnostic(code(folder), help("name a folder that holds .toml files"))]
    Unreadable {
        /// Path of the folder as passed by the caller.
        path: PathBuf,
        /// Error of the operating system.
        reason: io::Error,
    },
    /// The folder holds no `.toml` file.
    #[error("the folder `{path}` holds no .toml file")]
    #[diagnostic(code(empty), help("start from one of the folders in examples/"))]
    Empty {
        /// Path of the folder as passed by the caller.
        path: PathBuf,
    },
    /// The folder holds more than [`MAX_FILES`] files.
    #[error("the folder `{path}` holds {files} .toml files, expected at most {MAX_FILES}")]
    #[diagnostic(code(too_many_files), help("join files that belong together"))]
    TooMany {
        /// Path of the folder as passed by the caller.
        path: PathBuf,
        /// Number of `.toml` files found.
        files: usize,
    },
}

/// Files of a folder, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Folder {
    sources: Vec<Arc<Source>>,
    /// One problem for each file that could not be read as UTF-8 text.
    problems: Vec<Problem>,
}

impl Folder {
    /// Reads the `.toml` files of a folder, without those of its subfolders.
    ///
    /// A file that cannot be read or is not UTF-8 is not an error here:
    /// [`Folder::check`] reports it together with all other problems.
    ///
    /// # Errors
    ///
    /// [`FolderError`] if the folder cannot be listed, has no `.toml` file or too many.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, FolderError> {
        let path = path.as_ref();
        let names = list_files(path)?;
        if names.is_empty() {
            return Err(FolderError::Empty { path: path.to_owned() });
        }
        if names.len() > MAX_FILES {
            return Err(FolderError::TooMany { path: path.to_owned(), files: names.len() });
        }
        let mut folder = Self::default();
        for name in names {
            folder.read_file(path, name);
        }
        Ok(folder)
    }

    /// Creates a folder from pairs of file name and text, sorted by name.
    pub fn from_files(files: Vec<(String, String)>) -> Self {
        let mut folder = Self::default();
        for (name, text) in files {
            folder.sources.push(Arc::new(Source::new(name, text)));
        }
        folder.sources.sort_by(|left, right| left.name().cmp(right.name()));
        folder
    }

    /// Returns the files in the order in which they merge.
    pub fn sources(&self) -> impl Iterator<Item = &Source> {
        self.sources.iter().map(AsRef::as_ref)
    }

    /// Merges the files: for each key, the value of the last file that sets it applies.
    pub fn merge(&self) -> MergedSettings {
        let mut merged = MergedSettings::new(self.problems.clone());
        for source in &self.sources {
            merged.add(document::parse(source));
        }
        merged
    }

    /// Merges and checks the files.
    ///
    /// # Errors
    ///
    /// [`Report`] with every problem found in any file.
    pub fn check(&self) -> Result<Config, Report> {
        self.merge().check()
    }

    fn read_file(&mut self, folder: &Path, name: String) {
        match read_source(&folder.join(&name), name) {
            Ok(source) => self.sources.push(source),
            Err(report) => self.problems.extend(report.problems().iter().cloned()),
        }
    }
}

/// Reads a file as UTF-8 text; `name` is the file name in reports.
pub(crate) fn read_source(path: &Path, name: String) -> Result<Arc<Source>, Report> {
    let (text, kind) = match read_bytes(path) {
        Ok(bytes) => decode_utf8(bytes),
        Err(kind) => (String::new(), Some((kind, 0))),
    };
    let source = Arc::new(Source::new(name, text));
    match kind {
        None => Ok(source),
        Some((kind, offset)) => {
            let location = Location::new(&source, offset..offset + 1);
            Err(Report::new(vec![Problem::new(kind, location)]))
        }
    }
}

fn list_files(path: &Path) -> Result<Vec<String>, FolderError> {
    let unreadable = |reason| FolderError::Unreadable { path: path.to_owned(), reason };
    let mut names = Vec::new();
    for entry in fs::read_dir(path).map_err(unreadable)? {
        let entry = entry.map_err(unreadable)?;
        let file = PathBuf::from(entry.file_name());
        let has_extension = file.extension().is_some_and(|found| found == EXTENSION);
        if has_extension && !entry.path().is_dir() {
            names.push(file.to_string_lossy().into_owned());
        }
    }
    names.sort();
    Ok(names)
}

fn read_bytes(path: &Path) -> Result<Vec<u8>, ProblemKind> {
    let unreadable = |error: io::Error| ProblemKind::Unreadable(error.kind());
    let bytes = fs::metadata(path).map_err(unreadable)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(ProblemKind::TooLarge { bytes });
    }
    fs::read(path).map_err(unreadable)
}

/// Decodes bytes as UTF-8.
///
/// For invalid bytes the text holds replacement characters, and the problem and the offset of
/// the first invalid byte are returned with it.
fn decode_utf8(bytes: Vec<u8>) -> (String, Option<(ProblemKind, usize)>) {
    match String::from_utf8(bytes) {
        Ok(text) => (text, None),
        Err(error) => {
            let offset = error.utf8_error().valid_up_to();
            let text = String::from_utf8_lossy(error.as_bytes()).into_owned();
            (text, Some((ProblemKind::NotUtf8, offset)))
        }
    }
}
