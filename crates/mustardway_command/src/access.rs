//! Access to the administration API of an instance: its address and the token.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;

use mustardway_admin::client::{Client, Error};
use mustardway_settings::token::Token;

use crate::failure::Failure;

/// Address of the administration API of an instance, and the token for it.
#[derive(Debug, Clone)]
pub struct Access {
    /// Address that the administration API listens on.
    pub admin: SocketAddr,
    /// Token as given on the command line.
    pub token: Option<String>,
    /// File that holds the token alone, surrounded by blanks or line breaks at most.
    pub token_file: Option<PathBuf>,
}

impl Access {
    /// Sends a request with a new client and waits for the response.
    ///
    /// # Errors
    /// Fails if the token cannot be read or is not valid, or if the instance does not
    /// answer or refuses the request.
    pub fn call<T, F>(&self, request: impl FnOnce(Client) -> F) -> Result<T, Failure>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let token = self.token()?;
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().build().map_err(Failure::Runtime)?;
        let result = runtime.block_on(async {
            let client = Client::new(self.admin, token)?;
            request(client).await
        });
        result.map_err(Failure::Instance)
    }

    /// Returns the token, or `None` if none was given.
    fn token(&self) -> Result<Option<Token>, Failure> {
        let text = match (&self.token, &self.token_file) {
            (Some(_), Some(_)) => return Err(Failure::TwoTokens),
            (None, None) => return Ok(None),
            (Some(token), None) => token.clone(),
            (None, Some(path)) => fs::read_to_string(path)
                .map_err(|cause| Failure::TokenFile { path: path.clone(), cause })?,
        };
        text.trim().parse().map(Some).map_err(Failure::Token)
    }
}
