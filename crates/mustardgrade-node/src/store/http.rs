//! HTTP client that is independent of the interface of the store.

use std::time::Duration;

use super::errors::{Result, StoreError};

/// `HttpClient` sends requests to one HTTP server; a request that is cancelled closes its
/// connection.
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
    /// Fails if the underlying client cannot be created.
    pub fn new(url: &str, connect_timeout: Duration) -> Result<Self> {
        let builder = reqwest::Client::builder().no_proxy().connect_timeout(connect_timeout);
        Ok(Self { client: builder.build()?, base_url: url.trim_end_matches('/').to_owned() })
    }

    /// Creates a GET request for a path on the server.
    pub fn get(&self, path: &str) -> reqwest::RequestBuilder {
        self.client.get(format!("{}{path}", self.base_url))
    }

    /// Creates a GET request for a URL, which may be on another server.
    pub fn get_url(&self, url: &str) -> reqwest::RequestBuilder {
        self.client.get(url)
    }

    /// Creates a POST request for a path on the server.
    pub fn post(&self, path: &str) -> reqwest::RequestBuilder {
        self.client.post(format!("{}{path}", self.base_url))
    }

    /// Creates a PUT request for a path on the server.
    pub fn put(&self, path: &str) -> reqwest::RequestBuilder {
        self.client.put(format!("{}{path}", self.base_url))
    }
}

/// Returns the response if its status is a success.
///
/// # Errors
///
/// Fails with [`StoreError::Status`] for any other status.
pub fn check_status(response: reqwest::Response) -> Result<reqwest::Response> {
    let status = response.status();
    match status.is_success() {
        true => Ok(response),
        false => Err(StoreError::Status(status.as_u16())),
    }
}

/// Returns the number in a header of a response, if it has one.
#[must_use]
pub fn header_number(response: &reqwest::Response, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}
