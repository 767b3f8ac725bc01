//! JSON client for the HTTP endpoints of stand-ins and instances.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::BodyConversion;
use volo_http::response::Response;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a call.
#[derive(Debug, Display)]
pub enum Error {
    /// no answer from {address}{path}: {cause}
    Unreachable {
        /// Address of the endpoint.
        address: SocketAddr,
        /// Path and query of the call.
        path: String,
        /// Error of the HTTP client.
        cause: String,
    },
    /// {address}{path} answered {status}
    Status {
        /// Address of the endpoint.
        address: SocketAddr,
        /// Path and query of the call.
        path: String,
        /// HTTP status code.
        status: u16,
    },
    /// {address}{path} answered with JSON of an unexpected shape: {cause}
    Decode {
        /// Address of the endpoint.
        address: SocketAddr,
        /// Path and query of the call.
        path: String,
        /// Error of the JSON parser.
        cause: String,
    },
}

impl std::error::Error for Error {}

/// Gets a JSON value from `path`.
///
/// # Errors
///
/// Returns an error when the endpoint cannot be reached, answers with a status
/// other than success, or the body is no `T`.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let response = call(address, path, None::<&()>).await?;
    read(address, path, response).await
}

/// Posts a JSON value to `path` and drops the answer.
///
/// # Errors
///
/// Returns an error when the endpoint cannot be reached or answers with a status
/// other than success.
pub async fn post<T: Serialize>(address: SocketAddr, path: &str, value: &T) -> Result<(), Error> {
    call(address, path, Some(value)).await?;
    Ok(())
}

/// Returns whether `path` answers with a success status.
pub async fn is_ok(address: SocketAddr, path: &str) -> bool {
    call(address, path, None::<&()>).await.is_ok()
}

async fn call<T: Serialize>(
    address: SocketAddr,
    path: &str,
    value: Option<&T>,
) -> Result<Response, Error> {
    let unreachable_error =
        |cause: String| Error::Unreachable { address, path: path.to_owned(), cause };
    let client = volo_http::ClientBuilder::new()
        .build()
        .map_err(|error| unreachable_error(error.to_string()))?;
    let client: volo_http::Client = client;
    let uri = format!("http://{address}{path}");
    let sending = async {
        match value {
            Some(value) => client.post(uri.as_str()).json(value).send().await,
            None => client.get(uri.as_str()).send().await,
        }
    };
    let response = tokio::time::timeout(TIMEOUT, sending)
        .await
        .map_err(|_| unreachable_error("timeout".to_owned()))?
        .map_err(|error| unreachable_error(error.to_string()))?;
    if !response.status().is_success() {
        let status = response.status().as_u16();
        return Err(Error::Status { address, path: path.to_owned(), status });
    }
    Ok(response)
}

async fn read<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    response: Response,
) -> Result<T, Error> {
    let decode_error = |cause: String| Error::Decode { address, path: path.to_owned(), cause };
    let text = response
        .into_body()
        .into_string()
        .await
        .map_err(|error| decode_error(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| decode_error(error.to_string()))
}
