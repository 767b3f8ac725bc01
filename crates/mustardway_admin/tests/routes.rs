//! Tests of all paths, methods and error statuses.
#![allow(clippy::unwrap_used)]

mod common;

use common::{send, start_server};
use serde_json::Value;

fn json(body: &str) -> Value {
    serde_json::from_str(body).unwrap()
}

#[tokio::test]
async fn every_query_is_answered() {
    let server = start_server(None, true).await;
    let cases: [(&str, &str, Value); 9] = [
        ("/live", "live", true.into()),
        ("/ready", "ready", true.into()),
        ("/status", "targets-owned", 2.into()),
        ("/view", "revision", 7.into()),
        ("/targets", "targets", Value::Null),
        ("/flows", "total", 5_000.into()),
        ("/peers", "peers", Value::Null),
        ("/audit", "head", Value::Null),
        ("/promises", "promises", Value::Null),
    ];
    for (path, member, expected) in cases {
        let (status, body) = send(server.address(), &format!("GET {path}"), "").await;
        assert_eq!(status, 200, "{path}");
        let found = &json(&body)[member];
        if expected.is_null() {
            assert!(found.is_array() || found.is_object(), "{path}: {body}");
            continue;
        }
        assert_eq!(found, &expected, "{path}");
    }
}

#[tokio::test]
async fn flow_list_is_bounded() {
    let server = start_server(None, true).await;
    let (_, body) = send(server.address(), "GET /flows", "").await;
    assert_eq!(json(&body)["shown"].as_array().unwrap().len(), 1_000);
}

#[tokio::test]
async fn no_view_is_not_ready() {
    let server = start_server(None, false).await;
    let (status, body) = send(server.address(), "GET /ready", "").await;
    assert_eq!(status, 503);
    assert_eq!(json(&body)["reason"], "no configuration is in force yet");
    let (status, body) = send(server.address(), "GET /view", "").await;
    assert_eq!(status, 503);
    assert!(json(&body)["error"].is_string());
}

#[tokio::test]
async fn explain_parses_flow_and_address() {
    let server = start_server(None, true).await;
    let path = "GET /explain?flow=aa&address=10.0.0.1:443";
    let (status, body) = send(server.address(), path, "").await;
    assert_eq!(status, 200);
    assert_eq!(json(&body)["flow"], "00000000000000aa");
    assert_eq!(json(&body)["address"], "10.0.0.1:443");
}

#[tokio::test]
async fn malformed_explain_is_refused() {
    let server = start_server(None, true).await;
    for query in [
        "",
        "?flow=aa",
        "?flow=xyz&address=10.0.0.1:443",
        "?flow=aa&address=host",
        "?flow=aa&address=10.0.0.1",
        "?flow=aa&flow=ab&address=10.0.0.1:443",
    ] {
        let (status, body) = send(server.address(), &format!("GET /explain{query}"), "").await;
        assert_eq!(status, 400, "{query}");
        assert!(json(&body)["error"].is_string(), "{query}");
    }
}

#[tokio::test]
async fn commands_change_the_state() {
    let server = start_server(None, true).await;
    let (status, body) = send(server.address(), "POST /undrain", "").await;
    assert_eq!(status, 409);
    assert_eq!(json(&body)["error"], "the instance is not draining");
    let (status, body) = send(server.address(), "POST /drain", "").await;
    assert_eq!((status, &json(&body)["state"]), (200, &"draining".into()));
    let (status, body) = send(server.address(), "POST /undrain", "").await;
    assert_eq!((status, &json(&body)["state"]), (200, &"serving".into()));
}

#[tokio::test]
async fn unknown_path_is_refused() {
    let server = start_server(None, true).await;
    for path in ["/", "/statu", "/status/x", "/LIVE"] {
        let (status, body) = send(server.address(), &format!("GET {path}"), "").await;
        assert_eq!(status, 404, "{path}");
        assert!(json(&body)["error"].is_string(), "{path}");
    }
}

#[tokio::test]
async fn wrong_method_is_refused() {
    let server = start_server(None, true).await;
    for request in ["POST /status", "DELETE /view", "GET /drain", "PUT /undrain"] {
        let (status, body) = send(server.address(), request, "").await;
        assert_eq!(status, 405, "{request}");
        assert!(json(&body)["error"].is_string(), "{request}");
    }
}

#[tokio::test]
async fn large_body_is_refused() {
    let server = start_server(None, true).await;
    for length in ["4097", "99999999999999999999", "x"] {
        let header = format!("content-length: {length}\r\n");
        let (status, _) = send(server.address(), "POST /drain", &header).await;
        assert!(status == 413 || status == 400, "{length}: {status}");
    }
    // The refused requests started no drain, so there is none to cancel.
    let (status, _) = send(server.address(), "POST /undrain", "").await;
    assert_eq!(status, 409);
}
