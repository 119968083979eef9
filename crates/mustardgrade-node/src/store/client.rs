//! Client of the key-value store and the service catalogue.

use std::net::Ipv4Addr;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use mustardgrade_core::identity::{DataCentreId, HostId};
use mustardgrade_core::membership::ListedHost;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::errors::{Result, StoreError};
use super::http::{HttpClient, check_status, header_number};

/// Timeout of a call; a healthy store answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Header with the index of the last change to the key that was read.
const INDEX_HEADER: &str = "X-Consul-Index";

/// Name under which entry hosts are registered in the service catalogue.
const CATALOG_SERVICE: &str = "mustardgrade-entry";

/// `StoredValue` is the value of a key with the index of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Content, as written by [`StoreClient::write`].
    pub value: Vec<u8>,
    /// Index of the last change, for compare-and-swap.
    pub modify_index: u64,
}

/// `ReadReply` is the reply to a read or watch of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadReply {
    /// Value of the key, or `None` if the key does not exist.
    pub value: Option<StoredValue>,
    /// Index to pass to [`StoreClient::watch`] to wait for the next change.
    pub index: u64,
}

/// `StoreClient` accesses the key-value store and the service catalogue of the platform.
#[derive(Debug, Clone)]
pub struct StoreClient {
    http: HttpClient,
    token: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyEntry {
    value: Option<String>,
    modify_index: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CatalogEntry {
    service_address: Ipv4Addr,
    service_meta: CatalogMeta,
}

#[derive(Debug, Deserialize)]
struct CatalogMeta {
    name: String,
    data_centre: String,
    #[serde(default)]
    leaving: String,
}

/// Decodes an entry of the catalogue; one that cannot be decoded is logged and left out.
fn decode_listed_host(entry: &RawValue) -> Option<ListedHost> {
    let decoded = serde_json::from_str::<CatalogEntry>(entry.get());
    let entry = decoded
        .map_err(|error| {
            log::warn!(error:% = error; "entry of the host list cannot be decoded, left out");
        })
        .ok()?;
    Some(ListedHost {
        host: HostId::from_name(&entry.service_meta.name),
        address: entry.service_address,
        data_centre: DataCentreId::from_name(&entry.service_meta.data_centre),
        leaving: entry.service_meta.leaving == "true",
    })
}

impl StoreClient {
    /// Creates a client for the store at `url`.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(url: &str, token: Option<String>) -> Result<Self> {
        Ok(Self { http: HttpClient::new(url, CALL_TIMEOUT)?, token })
    }

    /// Returns the current value of a key.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or its reply cannot be decoded.
    pub async fn read(&self, key: &str) -> Result<ReadReply> {
        self.get_key(key, &[], CALL_TIMEOUT).await
    }

    /// Waits until a key changes after `index`, for at most `max_wait`, and returns its value.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or its reply cannot be decoded.
    pub async fn watch(&self, key: &str, index: u64, max_wait: Duration) -> Result<ReadReply> {
        let query = [("index", index.to_string()), ("wait", format!("{}ms", max_wait.as_millis()))];
        self.get_key(key, &query, max_wait + CALL_TIMEOUT).await
    }

    /// Writes a key if it was last changed at `expected_index`; 0 means that it does not exist.
    ///
    /// Returns whether the value was written.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or returns an error; the write may have taken effect
    /// nevertheless.
    pub async fn write(&self, key: &str, value: &[u8], expected_index: u64) -> Result<bool> {
        let request = self
            .http
            .put(&format!("/v1/kv/{key}"))
            .query(&[("cas", expected_index.to_string())])
            .body(value.to_vec())
            .timeout(CALL_TIMEOUT);
        let response = self.with_token(request).send().await?;
        let response = check_status(response)?;
        Ok(response.text().await?.trim() == "true")
    }

    /// Returns the entry hosts that are registered in the platform's service catalogue.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer or its reply cannot be decoded.
    pub async fn list_hosts(&self) -> Result<Vec<ListedHost>> {
        let path = format!("/v1/catalog/service/{CATALOG_SERVICE}");
        let request = self.with_token(self.http.get(&path).timeout(CALL_TIMEOUT));
        let response = check_status(request.send().await?)?;
        let entries: Vec<Box<RawValue>> = response.json().await?;
        Ok(entries.iter().filter_map(|entry| decode_listed_host(entry)).collect())
    }

    /// Fetches a JSON document from the HTTP server of a host, without the platform's token.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer or its reply cannot be decoded.
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        address: Ipv4Addr,
        port: u16,
        path: &str,
    ) -> Result<T> {
        let url = format!("http://{address}:{port}/{path}");
        let response = check_status(self.http.get_url(&url).timeout(CALL_TIMEOUT).send().await?)?;
        Ok(response.json().await?)
    }

    async fn get_key(
        &self,
        key: &str,
        query: &[(&str, String)],
        timeout: Duration,
    ) -> Result<ReadReply> {
        let path = format!("/v1/kv/{key}");
        let request = self.with_token(self.http.get(&path).query(query).timeout(timeout));
        let response = request.send().await?;
        let index = header_number(&response, INDEX_HEADER).unwrap_or_default();
        if response.status() == reqwest::StatusCode::NOT_FOUND {
            return Ok(ReadReply { value: None, index });
        }
        let entries: Vec<Box<RawValue>> = check_status(response)?.json().await?;
        let Some(entry) = entries.first() else {
            return Ok(ReadReply { value: None, index });
        };
        let entry: KeyEntry = serde_json::from_str(entry.get())
            .map_err(|error| StoreError::invalid_value(key, error))?;
        let value = BASE64_STANDARD
            .decode(entry.value.unwrap_or_default())
            .map_err(|error| StoreError::invalid_value(key, error))?;
        let value = StoredValue { value, modify_index: entry.modify_index };
        Ok(ReadReply { value: Some(value), index })
    }

    fn with_token(&self, request: reqwest::RequestBuilder) -> reqwest::RequestBuilder {
        match &self.token {
            Some(token) => request.header("X-Consul-Token", token),
            None => request,
        }
    }
}
