//! All errors with which the API refuses a request, each with its HTTP status.

use compact_str::CompactString;
use displaydoc::Display;
use volo_http::http::StatusCode;

/// Reasons why the API refuses a request.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {0}
    Malformed(CompactString),
    /// the token is missing or wrong: send 'Authorization: Bearer TOKEN'
    Unauthorized,
    /// there is no such path
    NotFound,
    /// the path does not take this method
    Method,
    /// {0}
    Conflict(CompactString),
    /// the request body is larger than allowed
    TooLarge,
    /// no configuration is in force yet
    NoView,
    /// the answer cannot be written
    Internal,
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the HTTP status of the error response.
    pub fn status(&self) -> StatusCode {
        match self {
            Error::Malformed(_) => StatusCode::BAD_REQUEST,
            Error::Unauthorized => StatusCode::UNAUTHORIZED,
            Error::NotFound => StatusCode::NOT_FOUND,
            Error::Method => StatusCode::METHOD_NOT_ALLOWED,
            Error::Conflict(_) => StatusCode::CONFLICT,
            Error::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Error::NoView => StatusCode::SERVICE_UNAVAILABLE,
            Error::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}
