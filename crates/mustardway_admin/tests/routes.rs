//! Every path, method and error status.
#![allow(clippy::unwrap_used)]

mod common;

use common::{ask, server};
use serde_json::Value;

fn json(body: &str) -> Value {
    serde_json::from_str(body).unwrap()
}

#[tokio::test]
async fn each_query() {
    let server = server(None, true).await;
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
    for (path, member, wanted) in cases {
        let (status, body) = ask(server.address(), &format!("GET {path}"), "").await;
        assert_eq!(status, 200, "{path}");
        let found = &json(&body)[member];
        if wanted.is_null() {
            assert!(found.is_array() || found.is_object(), "{path}: {body}");
            continue;
        }
        assert_eq!(found, &wanted, "{path}");
    }
}

#[tokio::test]
async fn flows_bounded() {
    let server = server(None, true).await;
    let (_, body) = ask(server.address(), "GET /flows", "").await;
    assert_eq!(json(&body)["shown"].as_array().unwrap().len(), 1_000);
}

#[tokio::test]
async fn not_ready() {
    let server = server(None, false).await;
    let (status, body) = ask(server.address(), "GET /ready", "").await;
    assert_eq!(status, 503);
    assert_eq!(json(&body)["reason"], "no configuration is in force yet");
    let (status, body) = ask(server.address(), "GET /view", "").await;
    assert_eq!(status, 503);
    assert!(json(&body)["error"].is_string());
}

#[tokio::test]
async fn explain() {
    let server = server(None, true).await;
    let path = "GET /explain?flow=aa&address=10.0.0.1:443";
    let (status, body) = ask(server.address(), path, "").await;
    assert_eq!(status, 200);
    assert_eq!(json(&body)["flow"], "00000000000000aa");
    assert_eq!(json(&body)["address"], "10.0.0.1:443");
}

#[tokio::test]
async fn malformed_explain() {
    let server = server(None, true).await;
    for query in [
        "",
        "?flow=aa",
        "?flow=xyz&address=10.0.0.1:443",
        "?flow=aa&address=host",
        "?flow=aa&address=10.0.0.1",
        "?flow=aa&flow=ab&address=10.0.0.1:443",
    ] {
        let (status, body) = ask(server.address(), &format!("GET /explain{query}"), "").await;
        assert_eq!(status, 400, "{query}");
        assert!(json(&body)["error"].is_string(), "{query}");
    }
}

#[tokio::test]
async fn commands() {
    let server = server(None, true).await;
    let (status, body) = ask(server.address(), "POST /undrain", "").await;
    assert_eq!(status, 409);
    assert_eq!(json(&body)["error"], "the instance is not draining");
    let (status, body) = ask(server.address(), "POST /drain", "").await;
    assert_eq!((status, &json(&body)["state"]), (200, &"draining".into()));
    let (status, body) = ask(server.address(), "POST /undrain", "").await;
    assert_eq!((status, &json(&body)["state"]), (200, &"serving".into()));
}

#[tokio::test]
async fn unknown_path() {
    let server = server(None, true).await;
    for path in ["/", "/statu", "/status/x", "/LIVE"] {
        let (status, body) = ask(server.address(), &format!("GET {path}"), "").await;
        assert_eq!(status, 404, "{path}");
        assert!(json(&body)["error"].is_string(), "{path}");
    }
}

#[tokio::test]
async fn wrong_method() {
    let server = server(None, true).await;
    for request in ["POST /status", "DELETE /view", "GET /drain", "PUT /undrain"] {
        let (status, body) = ask(server.address(), request, "").await;
        assert_eq!(status, 405, "{request}");
        assert!(json(&body)["error"].is_string(), "{request}");
    }
}

#[tokio::test]
async fn large_body() {
    let server = server(None, true).await;
    for length in ["4097", "99999999999999999999", "x"] {
        let header = format!("content-length: {length}\r\n");
        let (status, _) = ask(server.address(), "POST /drain", &header).await;
        assert!(status == 413 || status == 400, "{length}: {status}");
    }
    // Nothing was drained.
    let (status, _) = ask(server.address(), "POST /undrain", "").await;
    assert_eq!(status, 409);
}
