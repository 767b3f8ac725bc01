//! Reads of the platform, and conversions of its responses to the types of the decision crates.

use std::sync::Arc;
use std::time::Duration;

use mustardway_membership::roster;
use mustardway_reader::answer::{Answer, Instance, State as ListedState};
use mustardway_reader::failure::Failure;
use mustardway_reader::platform::Platform;
use mustardway_spread::{platform, set};
use mustardway_view::folder::Files;
use tokio::sync::mpsc;

/// Time between two reads of the platform's instance list.
const ROSTER_INTERVAL: Duration = Duration::from_secs(5);
/// Time before a failed read of the instance list is retried.
const ROSTER_RETRY: Duration = Duration::from_secs(1);

/// A response of the platform.
pub(super) enum Response {
    Configuration(Result<Answer, Failure>),
    Roster(Vec<Instance>),
}

/// Reads the platform's instance list periodically, until the control loop has stopped.
pub(super) async fn read_roster(platform: Arc<dyn Platform>, responses: mpsc::Sender<Response>) {
    loop {
        let pause = match platform.instances().await {
            Ok(listed) => {
                if responses.send(Response::Roster(listed)).await.is_err() {
                    return;
                }
                ROSTER_INTERVAL
            }
            Err(_) => ROSTER_RETRY,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Converts an entry of the instance list to a roster entry of membership.
pub(super) fn to_roster_entry(listed: Instance) -> roster::Entry {
    roster::Entry {
        id: listed.id,
        domain: listed.domain,
        address: listed.peer,
        leaving: listed.state == ListedState::Leaving,
    }
}

/// Converts the result of reading the configuration to the types of `mustardway_spread`.
pub(super) fn to_platform_answer(
    answer: Result<Answer, Failure>,
) -> Result<platform::Answer, platform::Failure> {
    let answer = answer.map_err(|failure| match failure {
        Failure::Timeout => platform::Failure::Timeout,
        Failure::Unreachable => platform::Failure::Unreachable,
        Failure::Malformed | Failure::TooLarge => platform::Failure::Nonsense,
        _ => platform::Failure::Refused,
    })?;
    let content = match answer.files {
        None => platform::Content::NotChanged,
        Some(folder) => {
            let file = |file: mustardway_reader::answer::File| {
                (file.name, Arc::from(file.text.into_bytes()))
            };
            platform::Content::Whole(folder.files.into_iter().map(file).collect())
        }
    };
    Ok(platform::Answer { number: answer.revision, content })
}

/// Converts the files of a set to a folder.
pub(super) fn to_folder(files: &set::Files) -> Files {
    let mut folder = Files::new();
    for (name, content) in files {
        folder.insert(name, Arc::clone(content));
    }
    folder
}
