//! Queries are answered after the signal that starts a planned stop.

mod common;

use std::process::Command;
use std::time::Duration;

use common::{ask, server};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_after_terminate() {
    let server = server(None, true).await;
    assert_eq!(ask(server.address(), "GET /live", "").await.0, 200);
    let process = std::process::id().to_string();
    let sent = Command::new("kill").args(["-TERM", &process]).status();
    assert!(sent.is_ok_and(|status| status.success()));
    for _ in 0..20 {
        assert_eq!(ask(server.address(), "GET /live", "").await.0, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
