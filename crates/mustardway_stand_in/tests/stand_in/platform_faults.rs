//! Injected faults of the platform.

use assert_matches::assert_matches;
use mustardway_stand_in::http;
use mustardway_stand_in::platform::Server;
use mustardway_stand_in::platform::fault::{Faults, Malformed};
use mustardway_stand_in::platform::message::{Configuration, Instance, InstanceState, Instances};

use crate::support;

async fn server_with_three_revisions() -> Server {
    let server = Server::start(support::any()).await.expect("a free port");
    for text in ["1", "2", "3"] {
        server.state().put("a.ini", text);
    }
    server
}

async fn get(server: &Server, after: u64) -> Result<Configuration, http::Error> {
    http::get(server.address(), &format!("/configuration?after={after}&wait=1")).await
}

#[tokio::test]
async fn down_platform_refuses_connections_until_up() {
    let server = server_with_three_revisions().await;
    server.set_faults(Faults { down: true, ..Faults::default() });
    support::until(|| std::net::TcpStream::connect(server.address()).is_err()).await;
    assert_matches!(get(&server, 0).await, Err(http::Error::Unreachable { .. }));
    server.set_faults(Faults::default());
    support::until(|| std::net::TcpStream::connect(server.address()).is_ok()).await;
    assert_eq!(get(&server, 0).await.unwrap().revision, 3);
}

#[tokio::test]
async fn stale_platform_withholds_later_revisions() {
    let server = server_with_three_revisions().await;
    server.set_faults(Faults { stale: Some(2), ..Faults::default() });
    let got = get(&server, 0).await.unwrap();
    assert_eq!((got.revision, got.files.unwrap()["a.ini"].as_str()), (2, "2"));
    assert_eq!(get(&server, 2).await.unwrap().files, None);
}

#[tokio::test]
async fn rollback_serves_earlier_revision() {
    let server = server_with_three_revisions().await;
    server.set_faults(Faults { back: true, ..Faults::default() });
    let got = get(&server, 3).await.unwrap();
    assert_eq!((got.revision, got.files.unwrap()["a.ini"].as_str()), (2, "2"));
}

#[tokio::test]
async fn malformed_answers_fail_to_decode() {
    let server = server_with_three_revisions().await;
    for malformed in [Malformed::NoJson, Malformed::Shape, Malformed::Half, Malformed::Empty] {
        server.set_faults(Faults { nonsense: Some(malformed), ..Faults::default() });
        assert_matches!(get(&server, 0).await, Err(http::Error::Decode { .. }));
    }
}

#[tokio::test]
async fn lagging_list_hides_new_instances() {
    let server = server_with_three_revisions().await;
    let instance = Instance {
        id: "a-1".into(),
        domain: "a".into(),
        peer: support::any(),
        state: InstanceState::Live,
    };
    server.set_faults(Faults { list_lags: true, ..Faults::default() });
    server.state().set_instances(vec![instance.clone()]);
    let lagging: Instances = http::get(server.address(), "/instances").await.unwrap();
    assert_eq!(lagging.instances, []);
    server.set_faults(Faults::default());
    let listed: Instances = http::get(server.address(), "/instances").await.unwrap();
    assert_eq!(listed.instances, [instance]);
}

#[tokio::test]
async fn faults_are_set_over_http() {
    let server = server_with_three_revisions().await;
    let control = server.open_control(support::any()).await.unwrap();
    let stale = Faults { stale: Some(1), ..Faults::default() };
    http::post(control.address(), "/switch", &stale).await.unwrap();
    assert_eq!(server.state().faults(), stale);
    assert_eq!(get(&server, 0).await.unwrap().revision, 1);
}

#[tokio::test]
async fn down_platform_comes_up_over_http() {
    let server = server_with_three_revisions().await;
    let control = server.open_control(support::any()).await.unwrap();
    let down = Faults { down: true, ..Faults::default() };
    http::post(control.address(), "/switch", &down).await.unwrap();
    support::until(|| std::net::TcpStream::connect(server.address()).is_err()).await;
    http::post(control.address(), "/switch", &Faults::default()).await.unwrap();
    support::until(|| std::net::TcpStream::connect(server.address()).is_ok()).await;
}
