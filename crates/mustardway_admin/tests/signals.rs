//! Queries must be answered after the signal that starts a planned stop, although the
//! HTTP library shuts a server down at that signal.

mod common;

use std::process::Command;
use std::time::Duration;

use common::{send, start_server};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queries_are_answered_after_sigterm() {
    let server = start_server(None, true).await;
    assert_eq!(send(server.address(), "GET /live", "").await.0, 200);
    let process = std::process::id().to_string();
    let sent = Command::new("kill").args(["-TERM", &process]).status();
    assert!(sent.is_ok_and(|status| status.success()));
    for _ in 0..20 {
        assert_eq!(send(server.address(), "GET /live", "").await.0, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
