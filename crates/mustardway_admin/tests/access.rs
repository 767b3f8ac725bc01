//! Checks of the token, and of the address that the API listens on.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;

use assert_matches::assert_matches;
use common::{FakeHandler, TOKEN, send, start_server};
use mustardway_admin::server::{Error, Server, Settings};
use mustardway_admin::token::Token;

#[tokio::test]
async fn wrong_token_is_refused() {
    let server = start_server(Some(TOKEN), true).await;
    let wrong = [
        String::new(),
        "authorization: Bearer\r\n".into(),
        format!("authorization: {TOKEN}\r\n"),
        format!("authorization: Basic {TOKEN}\r\n"),
        format!("authorization: Bearer {TOKEN}0\r\n"),
        format!("authorization: Bearer {}\r\n", &TOKEN[1..]),
        format!("authorization: Bearer {}\r\n", TOKEN.to_uppercase()),
    ];
    for header in &wrong {
        for request in ["GET /status", "POST /drain", "GET /nothing"] {
            let (status, body) = send(server.address(), request, header).await;
            assert_eq!(status, 401, "{request} {header}");
            assert!(body.contains("\"error\""), "{body}");
            assert!(!body.contains(TOKEN));
        }
    }
    let right = format!("authorization: Bearer {TOKEN}\r\n");
    assert_eq!(send(server.address(), "GET /status", &right).await.0, 200);
}

#[tokio::test]
async fn live_and_ready_need_no_token() {
    let server = start_server(Some(TOKEN), true).await;
    assert_eq!(send(server.address(), "GET /live", "").await.0, 200);
    assert_eq!(send(server.address(), "GET /ready", "").await.0, 200);
    // The path must match exactly: one with a trailing slash needs the token.
    assert_eq!(send(server.address(), "GET /live/", "").await.0, 401);
}

#[tokio::test]
async fn no_token_beyond_loopback_is_refused() {
    let settings = Settings { listen: "0.0.0.0:0".parse().unwrap(), token: None };
    let refused = Server::start(settings, Arc::new(FakeHandler::default())).await;
    assert_matches!(refused, Err(Error::TokenNeeded(_)));
}

#[tokio::test]
async fn used_address_is_refused() {
    let first = start_server(None, true).await;
    let settings = Settings { listen: first.address(), token: None };
    let refused = Server::start(settings, Arc::new(FakeHandler::default())).await;
    assert_matches!(refused, Err(Error::Listen { .. }));
}

#[tokio::test]
async fn stop_closes_the_socket() {
    let first = start_server(None, true).await;
    assert_eq!(send(first.address(), "GET /live", "").await.0, 200);
    first.stop();
    let mut freed = false;
    for _ in 0..1_000 {
        let settings = Settings { listen: first.address(), token: None };
        if Server::start(settings, Arc::new(FakeHandler::default())).await.is_ok() {
            freed = true;
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert!(freed);
}

#[test]
fn token_is_never_printed() {
    let token: Token = TOKEN.parse().unwrap();
    assert!(!format!("{token:?}").contains(TOKEN));
    for text in ["", "short", "0123456789abcde f", "0123456789abcd\u{e9}f"] {
        let error = text.parse::<Token>().unwrap_err();
        assert!(text.is_empty() || !error.to_string().contains(text));
    }
}
