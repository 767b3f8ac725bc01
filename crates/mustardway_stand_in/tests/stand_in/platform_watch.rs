//! Long poll of the platform's configuration.

use mustardway_stand_in::http;
use mustardway_stand_in::platform::Server;
use mustardway_stand_in::platform::message::{Calls, Configuration, Instances};

use crate::support;

async fn get(server: &Server, after: u64, wait: u64) -> Configuration {
    let path = format!("/configuration?after={after}&wait={wait}");
    http::get(server.address(), &path).await.expect("an answer")
}

#[tokio::test]
async fn unpublished_configuration_is_revision_zero() {
    let server = Server::start(support::any()).await.unwrap();
    assert_eq!(get(&server, 0, 1).await, Configuration { revision: 0, files: None });
}

#[tokio::test]
async fn later_revision_is_served_at_once() {
    let server = Server::start(support::any()).await.unwrap();
    server.state().put("a.ini", "[domain a]\n");
    let got = get(&server, 0, 60_000).await;
    assert_eq!(got.revision, 1);
    assert_eq!(got.files.unwrap()["a.ini"], "[domain a]\n");
}

#[tokio::test]
async fn long_poll_waits_for_next_revision() {
    let server = Server::start(support::any()).await.unwrap();
    server.state().put("a.ini", "1");
    let (got, ()) = tokio::join!(get(&server, 1, 60_000), async {
        support::until(|| server.state().calls().configuration == 1).await;
        server.state().put("b.ini", "2");
    });
    assert_eq!((got.revision, got.files.unwrap().len()), (2, 2));
}

#[tokio::test]
async fn unchanged_files_create_no_revision() {
    let server = Server::start(support::any()).await.unwrap();
    server.state().put("a.ini", "1");
    server.state().put("a.ini", "1");
    assert_eq!(get(&server, 1, 1).await, Configuration { revision: 1, files: None });
}

#[tokio::test]
async fn calls_are_counted_by_kind() {
    let server = Server::start(support::any()).await.unwrap();
    get(&server, 0, 1).await;
    let listed: Instances = http::get(server.address(), "/instances").await.unwrap();
    assert_eq!(listed, Instances::default());
    let calls: Calls = http::get(server.address(), "/calls").await.unwrap();
    assert_eq!(calls, Calls { configuration: 1, instances: 1 });
}
