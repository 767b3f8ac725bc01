//! Reading a folder of configuration files from disk, for operators' queries.

use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::Path;

use displaydoc::Display;

use crate::folder::{FILE_BYTES_MAX, FILES_MAX, Files};

/// Why a folder cannot be read.
#[derive(Debug, Display)]
pub enum Error {
    /// folder cannot be read: {0}
    Folder(io::Error),
    /// {name:?} cannot be read: {cause}
    File {
        /// Name in the folder.
        name: OsString,
        /// What the system says.
        cause: io::Error,
    },
    /// {0:?} is no file with a UTF-8 name
    Entry(OsString),
}

impl std::error::Error for Error {}

/// Reads every file of the folder at `path`. At most one byte more than is
/// allowed is read of each, and one file more than is allowed.
pub fn read(path: &Path) -> Result<Files, Error> {
    let mut files = Files::new();
    for entry in fs::read_dir(path).map_err(Error::Folder)? {
        let name = entry.map_err(Error::Folder)?.file_name();
        if files.len() > FILES_MAX {
            break;
        }
        let full = path.join(&name);
        let Some(text) = name.to_str().filter(|_| full.is_file()) else {
            return Err(Error::Entry(name));
        };
        match read_file(&full) {
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
