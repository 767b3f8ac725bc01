//! Publishes a folder of configuration files and follows its changes.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

use super::message::Instances;
use super::state::{Files, State};

/// Interval between two reads of the folder.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// File extension of configuration files.
const SUFFIX: &str = "ini";

/// Reads every configuration file of `folder`.
///
/// # Errors
///
/// Returns an error when the folder or a file cannot be read.
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

/// Paths that the platform publishes from.
#[derive(Debug, Clone)]
pub struct Source {
    /// Folder of configuration files.
    pub folder: PathBuf,
    /// File of the instance list; `None` publishes no list.
    pub instances: Option<PathBuf>,
}

impl Source {
    /// Publishes the current files. When a configuration file or the instance list
    /// cannot be read, the published configuration or list stays.
    pub fn publish(&self, state: &State) {
        if let Ok(files) = read(&self.folder) {
            state.publish(files);
        }
        if let Some(list) = self.instances.as_deref().and_then(read_instances) {
            state.set_instances(list.instances);
        }
    }

    /// Publishes every change; never returns.
    pub async fn follow(self, state: Arc<State>) {
        loop {
            self.publish(&state);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Reads the instance list from a file; `None` when the file is missing or only partly written.
fn read_instances(file: &Path) -> Option<Instances> {
    let text = fs::read_to_string(file).ok()?;
    serde_json::from_str(&text).ok()
}
