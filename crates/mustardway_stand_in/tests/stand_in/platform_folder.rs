//! The platform publishes a folder and follows its changes.

use std::fs;
use std::sync::Arc;

use mustardway_stand_in::platform::folder::{self, Source};
use mustardway_stand_in::platform::state::State;

use crate::support;

#[tokio::test]
async fn folder_changes_are_published() {
    let root = std::env::temp_dir().join(format!("mustardway-{}-follow", std::process::id()));
    fs::create_dir_all(&root).unwrap();
    fs::write(root.join("b.ini"), "[domain b]\n").unwrap();
    fs::write(root.join("notes.txt"), "passed over").unwrap();
    let list = root.join("instances.json");
    fs::write(
        &list,
        r#"{"instances":[{"id":"a-1","domain":"a","peer":"127.0.0.1:1","state":"live"}]}"#,
    )
    .unwrap();
    let state = Arc::new(State::default());
    let source = Source { folder: root.clone(), instances: Some(list.clone()) };
    source.publish(&state);
    assert_eq!((state.revision(), state.files().len()), (1, 1));
    assert_eq!(state.instances().instances.len(), 1);
    let following = tokio::spawn(source.follow(Arc::clone(&state)));
    fs::write(root.join("a.ini"), "[domain a]\n").unwrap();
    support::until(|| state.files().contains_key("a.ini")).await;
    fs::remove_file(root.join("b.ini")).unwrap();
    support::until(|| !state.files().contains_key("b.ini")).await;
    fs::write(&list, "half").unwrap();
    assert_eq!(state.instances().instances.len(), 1);
    following.abort();
    assert_eq!(folder::read(&root).unwrap().len(), 1);
    fs::remove_dir_all(&root).unwrap();
}
