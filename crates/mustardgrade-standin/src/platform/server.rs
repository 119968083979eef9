//! HTTP server of the platform stand-in: Consul's calls, and calls under `/standin/` that change
//! the catalogue and inject faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::state::{CatalogueEntry, FaultMode, PlatformCopy, PlatformState};

/// Delay of each call under [`FaultMode::Slow`].
const SLOW_CALL_DELAY: Duration = Duration::from_secs(1);

/// Longest time that a watch waits for a change, as in Consul; also used if a call gives no time.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(600);

/// TTL of a session that is created without one.
const DEFAULT_SESSION_TTL: Duration = Duration::from_secs(15);

/// `PlatformHandle` reads and changes the state of a running platform stand-in.
#[derive(Debug, Clone, Default)]
pub struct PlatformHandle {
    state: Arc<Mutex<PlatformState>>,
    state_changed: Arc<Notify>,
}

impl PlatformHandle {
    /// Locks the state, to read or change it directly.
    ///
    /// Changes made through the guard do not wake waiting watches.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked while it held the lock.
    pub fn lock_state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the platform state lock panics")
    }

    /// Adds a host to the catalogue, or replaces its entry.
    pub fn register_host(&self, entry: CatalogueEntry) {
        let mut state = self.lock_state();
        state.last_index += 1;
        state.hosts.insert(entry.name.clone(), entry);
    }

    /// Removes a host from the catalogue.
    pub fn deregister_host(&self, name: &str) {
        self.lock_state().hosts.remove(name);
    }

    /// Returns the store to a copy and fails the watches that wait, as a restart does.
    pub fn restore(&self, copy: PlatformCopy) {
        self.lock_state().restore(copy);
        self.state_changed.notify_waiters();
    }

    /// Sets the fault to inject, or [`FaultMode::None`] to end it; waiting watches are woken.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        self.lock_state().fault_mode = fault_mode;
        self.state_changed.notify_waiters();
    }
}

/// Starts the stand-in as an HTTP server on `address`.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub async fn start_platform(address: SocketAddr) -> std::io::Result<PlatformHandle> {
    let platform = PlatformHandle::default();
    let listener = tokio::net::TcpListener::bind(address).await?;
    let router = Router::new()
        .route("/v1/kv/{*key}", get(read_key).put(write_key).delete(delete_key))
        .route("/v1/session/create", put(create_session))
        .route("/v1/session/renew/{id}", put(renew_session))
        .route("/v1/session/destroy/{id}", put(destroy_session))
        .route("/v1/catalog/service/{service}", get(list_hosts))
        .route("/standin/hosts", put(put_host))
        .route("/standin/hosts/{name}", axum::routing::delete(delete_host))
        .route("/standin/fault/{mode}", put(put_fault_mode))
        .route("/standin/copy", put(take_copy))
        .route("/standin/restore", put(restore_copy))
        .with_state(platform.clone());
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!(error:% = error; "HTTP server of the platform stand-in failed");
        }
    });
    Ok(platform)
}

/// Counts a call and injects the current fault; returns the error response if the call must not be
/// carried out.
///
/// [`FaultMode::LostAnswer`] is injected by [`write_key`] itself, after the write.
async fn apply_fault(platform: &PlatformHandle) -> Option<Response> {
    let fault_mode = {
        let mut state = platform.lock_state();
        state.call_count += 1;
        state.fault_mode
    };
    match fault_mode {
        FaultMode::None | FaultMode::LostAnswer => None,
        FaultMode::Slow => {
            tokio::time::sleep(SLOW_CALL_DELAY).await;
            None
        }
        FaultMode::Down => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
    }
}

async fn read_key(
    State(platform): State<PlatformHandle>,
    Path(key): Path<String>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(response) = apply_fault(&platform).await {
        return response;
    }
    let query_number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    if let Some(known_index) = query_number("index") {
        let timeout = query.get("wait").and_then(|text| text.strip_suffix("ms")?.parse().ok());
        let timeout =
            timeout.map_or(MAX_WATCH_TIMEOUT, Duration::from_millis).min(MAX_WATCH_TIMEOUT);
        let restore_count = platform.lock_state().restore_count;
        wait_for_change(&platform, &key, known_index, timeout).await;
        let state = platform.lock_state();
        if state.fault_mode == FaultMode::Down || state.restore_count != restore_count {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
    }
    let state = platform.lock_state();
    let Some(record) = state.keys.get(&key) else {
        return (index_header(state.last_index), StatusCode::NOT_FOUND).into_response();
    };
    let entry = json!([{
        "Key": key,
        "Value": BASE64_STANDARD.encode(&record.value),
        "ModifyIndex": record.modify_index,
        "Session": record.session,
    }]);
    (index_header(record.modify_index), Json(entry)).into_response()
}

async fn wait_for_change(
    platform: &PlatformHandle,
    key: &str,
    known_index: u64,
    timeout: Duration,
) {
    let deadline = tokio::time::Instant::now() + timeout;
    let restore_count = platform.lock_state().restore_count;
    loop {
        let notified = platform.state_changed.notified();
        {
            let state = platform.lock_state();
            // For a key that does not exist, any change of the store ends the watch.
            let current_index =
                state.keys.get(key).map_or(state.last_index, |record| record.modify_index);
            if current_index > known_index
                || known_index == 0
                || state.fault_mode == FaultMode::Down
                || state.restore_count != restore_count
            {
                return;
            }
        }
        if tokio::time::timeout_at(deadline, notified).await.is_err() {
            return;
        }
    }
}

async fn write_key(
    State(platform): State<PlatformHandle>,
    Path(key): Path<String>,
    Query(query): Query<HashMap<String, String>>,
    body: Bytes,
) -> Response {
    if let Some(response) = apply_fault(&platform).await {
        return response;
    }
    let expected_index = query.get("cas").and_then(|text| text.parse().ok());
    let (succeeded, fault_mode) = {
        let mut state = platform.lock_state();
        let succeeded = match query.get("acquire") {
            Some(session) => state.acquire(&key, body.to_vec(), session),
            None => state.write(&key, body.to_vec(), expected_index),
        };
        (succeeded, state.fault_mode)
    };
    platform.state_changed.notify_waiters();
    match fault_mode {
        FaultMode::LostAnswer => StatusCode::GATEWAY_TIMEOUT.into_response(),
        FaultMode::None | FaultMode::Down | FaultMode::Slow => {
            succeeded.to_string().into_response()
        }
    }
}

async fn delete_key(State(platform): State<PlatformHandle>, Path(key): Path<String>) -> Response {
    if let Some(response) = apply_fault(&platform).await {
        return response;
    }
    platform.lock_state().delete(&key);
    platform.state_changed.notify_waiters();
    "true".into_response()
}

async fn create_session(
    State(platform): State<PlatformHandle>,
    body: Option<Json<Value>>,
) -> Response {
    if let Some(response) = apply_fault(&platform).await {
        return response;
    }
    let ttl_text = body.and_then(|Json(value)| value.get("TTL")?.as_str().map(str::to_owned));
    let secs = ttl_text.and_then(|text| text.strip_suffix('s')?.parse().ok());
    let ttl = secs.map_or(DEFAULT_SESSION_TTL, Duration::from_secs);
    let id = platform.lock_state().create_session(ttl);
    Json(json!({ "ID": id })).into_response()
}

async fn renew_session(State(platform): State<PlatformHandle>, Path(id): Path<String>) -> Response {
    if let Some(response) = apply_fault(&platform).await {
        return response;
    }
    match platform.lock_state().renew_session(&id) {
        true => Json(json!([{ "ID": id }])).into_response(),
        false => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn destroy_session(
    State(platform): State<PlatformHandle>,
    Path(id): Path<String>,
) -> Response {
    if let Some(response) = apply_fault(&platform).await {
        return response;
    }
    platform.lock_state().destroy_session(&id);
    platform.state_changed.notify_waiters();
    "true".into_response()
}

async fn list_hosts(State(platform): State<PlatformHandle>) -> Response {
    if let Some(response) = apply_fault(&platform).await {
        return response;
    }
    let state = platform.lock_state();
    let entries: Vec<Value> = state
        .hosts
        .values()
        .map(|entry| {
            json!({
                "Node": entry.name,
                "ServiceAddress": entry.address,
                "ServiceMeta": {
                    "name": entry.name,
                    "data_centre": entry.data_centre,
                    "leaving": entry.leaving.to_string(),
                },
            })
        })
        .collect();
    (index_header(state.last_index), Json(entries)).into_response()
}

async fn put_host(
    State(platform): State<PlatformHandle>,
    Json(entry): Json<CatalogueEntry>,
) -> StatusCode {
    platform.register_host(entry);
    StatusCode::OK
}

async fn delete_host(
    State(platform): State<PlatformHandle>,
    Path(name): Path<String>,
) -> StatusCode {
    platform.deregister_host(&name);
    StatusCode::OK
}

async fn put_fault_mode(
    State(platform): State<PlatformHandle>,
    Path(mode): Path<String>,
) -> StatusCode {
    match serde_json::from_value(Value::String(mode)) {
        Ok(mode) => {
            platform.set_fault_mode(mode);
            StatusCode::OK
        }
        Err(_) => StatusCode::BAD_REQUEST,
    }
}

/// Takes the copy that a later call of `/standin/restore` returns to.
async fn take_copy(State(platform): State<PlatformHandle>) -> StatusCode {
    let mut state = platform.lock_state();
    state.last_copy = state.copy();
    StatusCode::OK
}

async fn restore_copy(State(platform): State<PlatformHandle>) -> StatusCode {
    let copy = platform.lock_state().last_copy.clone();
    platform.restore(copy);
    StatusCode::OK
}

fn index_header(index: u64) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("X-Consul-Index", HeaderValue::from(index));
    headers
}
