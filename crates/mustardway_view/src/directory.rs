//! Reads a folder of configuration files from disk, for the queries of operators.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::Path;

use displaydoc::Display;

use crate::folder::{FILE_BYTES_MAX, FILES_MAX, Files};

/// Why a folder could not be read.
#[derive(Debug, Display)]
pub enum Error {
    /// folder cannot be read: {0}
    Folder(io::Error),
    /// {name:?} cannot be read: {cause}
    File {
        /// Name of the file.
        name: OsString,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// {0:?} is not a file with a UTF-8 name
    Entry(OsString),
}

impl std::error::Error for Error {}

/// Reads every file of the folder at `path`.
///
/// Reading stops one byte above the limit of a file and one file above the limit
/// of the folder. That is enough for [`crate::folder::parse`] to report the
/// excess, and bounds the memory that is used.
///
/// # Errors
/// The folder or a file cannot be read, or an entry is not a file with a UTF-8
/// name.
pub fn read(path: &Path) -> Result<Files, Error> {
    let mut files = Files::new();
    for entry in fs::read_dir(path).map_err(Error::Folder)? {
        let name = entry.map_err(Error::Folder)?.file_name();
        if files.len() > FILES_MAX {
            break;
        }
        let file_path = path.join(&name);
        let Some(text) = name.to_str().filter(|_| file_path.is_file()) else {
            return Err(Error::Entry(name));
        };
        match read_file(&file_path) {
            Ok(content) => files.insert(text, content),
            Err(cause) => return Err(Error::File { name, cause }),
        }
    }
    Ok(files)
}

fn read_file(path: &Path) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    File::open(path)?.take(FILE_BYTES_MAX as u64 + 1).read_to_end(&mut content)?;
    Ok(content)
}
