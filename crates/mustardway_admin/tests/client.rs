//! Tests of the client, and of responses rendered as tables and JSON text.
#![allow(clippy::unwrap_used)]

mod common;

use assert_matches::assert_matches;
use common::{TOKEN, start_server};
use mustardway_admin::client::{Client, Error};
use mustardway_admin::report::{Format, Report, render};
use mustardway_admin::response;
use mustardway_telemetry::audit;
use mustardway_types::{flow, revision};

#[tokio::test]
async fn every_method_returns_its_response() {
    let server = start_server(Some(TOKEN), true).await;
    let client = Client::new(server.address(), Some(TOKEN.parse().unwrap())).unwrap();
    assert!(client.ready().await.unwrap().ready);
    assert_eq!(client.status().await.unwrap().flows, 40);
    assert_eq!(client.view().await.unwrap().revision, revision::Number(7));
    assert_eq!(client.targets().await.unwrap().targets.len(), 1);
    assert_eq!(client.flows().await.unwrap().total, 5_000);
    assert_eq!(client.peers().await.unwrap().peers.len(), 1);
    assert_eq!(client.promises().await.unwrap().promises.len(), 10);
    let explained = client.explain(flow::Id(0xaa), "10.0.0.1:443".parse().unwrap()).await;
    assert_eq!(explained.unwrap().flow, "00000000000000aa");
    assert_eq!(client.drain().await.unwrap().state, response::State::Draining);
    assert_eq!(client.undrain().await.unwrap().state, response::State::Serving);
}

#[tokio::test]
async fn audit_records_verify() {
    let server = start_server(None, true).await;
    let client = Client::new(server.address(), None).unwrap();
    let answer = client.audit().await.unwrap();
    assert_eq!(audit::verify(&answer.records), Ok(()));
    assert_eq!(answer.records.last().unwrap().hash, answer.head.hash);
}

#[tokio::test]
async fn error_status_is_returned() {
    let server = start_server(Some(TOKEN), true).await;
    let without_token = Client::new(server.address(), None).unwrap();
    assert_matches!(without_token.status().await, Err(Error::Refused { status: 401, .. }));
    let client = Client::new(server.address(), Some(TOKEN.parse().unwrap())).unwrap();
    assert_matches!(client.undrain().await, Err(Error::Refused { status: 409, .. }));
}

#[tokio::test]
async fn no_view_is_not_ready() {
    let server = start_server(None, false).await;
    let client = Client::new(server.address(), None).unwrap();
    assert!(!client.ready().await.unwrap().ready);
    assert_matches!(client.view().await, Err(Error::Refused { status: 503, .. }));
}

#[tokio::test]
async fn stopped_server_is_unreachable() {
    let server = start_server(None, true).await;
    let address = server.address();
    server.stop();
    let client = Client::new(address, None).unwrap();
    let mut refused = false;
    for _ in 0..1_000 {
        refused = matches!(client.status().await, Err(Error::Unreachable(_)));
        if refused {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    assert!(refused);
}

#[tokio::test]
async fn responses_are_rendered() {
    let server = start_server(None, true).await;
    let client = Client::new(server.address(), None).unwrap();
    let targets = client.targets().await.unwrap();
    let lines = [
        "target  service           domain   endpoint        owner  state  running  queued  flows",
        "t1      central-reservas  rosario  127.0.2.1:9000  e1     cold   1/2      0       9",
    ];
    assert_eq!(render(&targets, Format::Table), lines.join("\n") + "\n");
    let read: response::Targets = serde_json::from_str(&render(&targets, Format::Json)).unwrap();
    assert_eq!(read, targets);

    let audit = render(&client.audit().await.unwrap(), Format::Table);
    assert!(audit.contains("failure domain rosario: in -> out"), "{audit}");
    let status = client.status().await.unwrap().table().to_string();
    assert!(status.contains("state           serving"), "{status}");
}

#[test]
fn audit_table_lists_files_and_refusals() {
    let trail = audit::Trail::new(10, slog::Logger::root(slog::Discard, slog::o!()));
    let fingerprint = Some(mustardway_telemetry::fingerprint::Fingerprint::of(b"text"));
    let file = |name: &str, before, after| audit::File { name: name.into(), before, after };
    let adopted = audit::Event::Adopted {
        revision: revision::Number(1),
        digest: revision::Digest(7),
        files: vec![file("a.ini", None, fingerprint), file("b.ini", fingerprint, None)],
        changes: Vec::new(),
    };
    trail.write(audit::Time(1_000_000), adopted);
    let errors = vec!["folder: no files".into()];
    let refused = audit::Event::Refused { revision: revision::Number(2), errors };
    trail.write(audit::Time(2_000_000), refused);
    let lines = [
        "revision  digest            adopted at  in force after  change",
        "1         0000000000000007  1.000000    -               file a.ini added",
        "                                                        file b.ini removed",
        "2         -                 -           -               refused at 2.000000: folder: no files",
    ];
    assert_eq!(render(&response::Audit::of(&trail), Format::Table), lines.join("\n") + "\n");
}
