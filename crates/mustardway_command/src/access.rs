//! How an instance is asked: its administration API and the token for it.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;

use mustardway_admin::client::{Client, Error};
use mustardway_settings::token::Token;

use crate::failure::Failure;

/// An instance and what it wants to be shown.
#[derive(Debug, Clone)]
pub struct Access {
    /// Where its administration API listens.
    pub admin: SocketAddr,
    /// The token itself.
    pub token: Option<String>,
    /// A file that holds nothing but the token.
    pub token_file: Option<PathBuf>,
}

impl Access {
    /// Asks the instance and waits for its answer.
    ///
    /// # Errors
    /// When the token cannot be had, or the instance gives no answer.
    pub fn ask<T, F>(&self, question: impl FnOnce(Client) -> F) -> Result<T, Failure>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let token = self.token()?;
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().build().map_err(Failure::Thread)?;
        let answer = runtime.block_on(async {
            let client = Client::new(self.admin, token)?;
            question(client).await
        });
        answer.map_err(Failure::Instance)
    }

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
