//! HTTP calls to a store, whichever its interface.

use std::time::Duration;

use super::errors::{Result, StoreError};

/// `HttpClient` calls one HTTP server; a call that is given up closes its connection.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: reqwest::Client,
    base_url: String,
}

impl HttpClient {
    /// Creates a client for the server at `url`.
    ///
    /// # Errors
    ///
    /// Fails if the client cannot be set up.
    pub fn new(url: &str, connect_timeout: Duration) -> Result<Self> {
        let builder = reqwest::Client::builder().no_proxy().connect_timeout(connect_timeout);
        Ok(Self { client: builder.build()?, base_url: url.trim_end_matches('/').to_owned() })
    }

    /// Creates a request that reads a path.
    pub fn get(&self, path: &str) -> reqwest::RequestBuilder {
        self.client.get(format!("{}{path}", self.base_url))
    }

    /// Creates a request that reads a URL of another server.
    pub fn get_url(&self, url: &str) -> reqwest::RequestBuilder {
        self.client.get(url)
    }

    /// Creates a request that writes a path.
    pub fn put(&self, path: &str) -> reqwest::RequestBuilder {
        self.client.put(format!("{}{path}", self.base_url))
    }
}

/// Returns a response whose status says that the call succeeded.
///
/// # Errors
///
/// Fails with any other status.
pub fn check_status(response: reqwest::Response) -> Result<reqwest::Response> {
    let status = response.status();
    match status.is_success() {
        true => Ok(response),
        false => Err(StoreError::Status(status.as_u16())),
    }
}
