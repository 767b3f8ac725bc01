//! Publishes a folder and follows its changes.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

use super::message::Instances;
use super::state::{Files, State};

/// Time between two looks at the folder.
const POLL: Duration = Duration::from_millis(100);

/// Suffix of configuration files.
const SUFFIX: &str = "ini";

/// Reads every configuration file of `folder`.
///
/// # Errors
///
/// Returns the first error of reading.
pub fn read(folder: &Path) -> io::Result<Files> {
    let mut files = Files::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|suffix| suffix != SUFFIX) {
            continue;
        }
        let Some(name) = path.file_name() else { continue };
        let bytes = fs::read(&path)?;
        files.insert(
            name.to_string_lossy().into_owned(),
            String::from_utf8_lossy(&bytes).into_owned(),
        );
    }
    Ok(files)
}

/// Publishes `folder`, and the instance list of the file `instances`, for ever.
pub async fn follow(state: Arc<State>, folder: PathBuf, instances: Option<PathBuf>) {
    loop {
        if let Ok(files) = read(&folder) {
            state.publish(files);
        }
        if let Some(listed) = instances.as_deref().and_then(read_instances) {
            state.set_instances(listed.instances);
        }
        tokio::time::sleep(POLL).await;
    }
}

/// The instance list of a file; `None` while it is half written.
fn read_instances(file: &Path) -> Option<Instances> {
    let text = fs::read_to_string(file).ok()?;
    serde_json::from_str(&text).ok()
}
