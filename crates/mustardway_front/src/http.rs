//! A small HTTP server that maps a path to an answer, for health checks and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Delay before the next attempt after `accept` failed. It is short compared with
/// the 500 ms between two readiness checks.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Status and body of an answer.
pub type Answer = (StatusCode, Bytes);

/// Serves requests on `listener` for as long as the process runs. `handler` returns
/// the answer for the path of a request.
pub async fn serve<A>(listener: TcpListener, handler: A, logger: Logger)
where
    A: Fn(&str) -> Answer + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_stream(stream, Arc::clone(&handler), logger.clone()));
            }
            Err(error) => {
                // For example out of file descriptors; a later attempt may succeed.
                slog::debug!(logger, "accepting a connection failed"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_stream<A>(stream: TcpStream, handler: Arc<A>, logger: Logger)
where
    A: Fn(&str) -> Answer + Send + Sync + 'static,
{
    let service = service_fn(move |request: Request<_>| {
        let (status, body) = handler(request.uri().path());
        async move {
            let mut response = Response::new(Full::new(body));
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        // The client closed the connection; it retries by itself.
        slog::debug!(logger, "serving a connection failed"; "error" => %error);
    }
}
