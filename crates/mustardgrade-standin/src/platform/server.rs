//! The HTTP server of the platform stand-in.

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

use super::state::{FaultMode, ListedEntry, PlatformState};

/// Delay of answers while the platform is slow.
const SLOW_DELAY: Duration = Duration::from_secs(1);

/// Longest time that a watch waits, as in Consul.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Life of a lease that names none.
const DEFAULT_SESSION_LIFE: Duration = Duration::from_secs(15);

/// `PlatformStandin` is a handle on a running platform stand-in.
#[derive(Debug, Clone, Default)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
    changed: Arc<Notify>,
}

impl PlatformStandin {
    /// Changes or reads the state directly.
    ///
    /// # Panics
    ///
    /// Panics if another user of the state has panicked.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no user of the state panics")
    }

    /// Lists a host, or changes its entry.
    pub fn list_host(&self, entry: ListedEntry) {
        let mut state = self.state();
        state.index += 1;
        state.hosts.insert(entry.name.clone(), entry);
    }

    /// Removes a host from the list.
    pub fn unlist_host(&self, name: &str) {
        self.state().hosts.remove(name);
    }

    /// Makes the platform misbehave, or work again.
    pub fn set_fault(&self, fault: FaultMode) {
        self.state().fault = fault;
        self.changed.notify_waiters();
    }
}

/// Starts the stand-in on `address`.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn start_platform(address: SocketAddr) -> std::io::Result<PlatformStandin> {
    let standin = PlatformStandin::default();
    let listener = tokio::net::TcpListener::bind(address).await?;
    let router = Router::new()
        .route("/v1/kv/{*key}", get(read_key).put(write_key).delete(remove_key))
        .route("/v1/session/create", put(create_session))
        .route("/v1/session/renew/{name}", put(renew_session))
        .route("/v1/session/destroy/{name}", put(end_session))
        .route("/v1/catalog/service/{service}", get(list_hosts))
        .route("/standin/hosts", put(change_host))
        .route("/standin/hosts/{name}", axum::routing::delete(remove_host))
        .route("/standin/fault/{mode}", put(change_fault))
        .with_state(standin.clone());
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::error!(error:% = error; "platform stand-in ended");
        }
    });
    Ok(standin)
}

/// Misbehaves as switched; returns an answer if the call must not be carried out.
async fn misbehave(standin: &PlatformStandin) -> Option<Response> {
    let fault = {
        let mut state = standin.state();
        state.calls += 1;
        state.fault
    };
    match fault {
        FaultMode::None | FaultMode::LostAnswer => None,
        FaultMode::Slow => {
            tokio::time::sleep(SLOW_DELAY).await;
            None
        }
        FaultMode::Down => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
    }
}

async fn read_key(
    State(standin): State<PlatformStandin>,
    Path(key): Path<String>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if let Some(response) = misbehave(&standin).await {
        return response;
    }
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    if let Some(index) = number("index") {
        let wait = query.get("wait").and_then(|text| text.strip_suffix("ms")?.parse().ok());
        let wait = wait.map_or(MAX_WAIT, Duration::from_millis).min(MAX_WAIT);
        wait_for_change(&standin, &key, index, wait).await;
        if standin.state().fault == FaultMode::Down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
    }
    let state = standin.state();
    let Some(record) = state.keys.get(&key) else {
        return (index_header(state.index), StatusCode::NOT_FOUND).into_response();
    };
    let entry = json!([{
        "Key": key,
        "Value": BASE64_STANDARD.encode(&record.value),
        "ModifyIndex": record.modify_index,
        "Session": record.session,
    }]);
    (index_header(record.modify_index), Json(entry)).into_response()
}

async fn wait_for_change(standin: &PlatformStandin, key: &str, index: u64, wait: Duration) {
    let limit = tokio::time::Instant::now() + wait;
    loop {
        let notified = standin.changed.notified();
        {
            let state = standin.state();
            // A key that does not exist has the index of the whole store.
            let held = state.keys.get(key).map_or(state.index, |record| record.modify_index);
            if held > index || index == 0 || state.fault == FaultMode::Down {
                return;
            }
        }
        if tokio::time::timeout_at(limit, notified).await.is_err() {
            return;
        }
    }
}

async fn write_key(
    State(standin): State<PlatformStandin>,
    Path(key): Path<String>,
    Query(query): Query<HashMap<String, String>>,
    body: Bytes,
) -> Response {
    if let Some(response) = misbehave(&standin).await {
        return response;
    }
    let expected = query.get("cas").and_then(|text| text.parse().ok());
    let (written, fault) = {
        let mut state = standin.state();
        let written = match query.get("acquire") {
            Some(session) => state.acquire(&key, body.to_vec(), session),
            None => state.write(&key, body.to_vec(), expected),
        };
        (written, state.fault)
    };
    standin.changed.notify_waiters();
    match fault {
        FaultMode::LostAnswer => StatusCode::GATEWAY_TIMEOUT.into_response(),
        FaultMode::None | FaultMode::Down | FaultMode::Slow => written.to_string().into_response(),
    }
}

async fn remove_key(State(standin): State<PlatformStandin>, Path(key): Path<String>) -> Response {
    if let Some(response) = misbehave(&standin).await {
        return response;
    }
    standin.state().remove(&key);
    standin.changed.notify_waiters();
    "true".into_response()
}

async fn create_session(
    State(standin): State<PlatformStandin>,
    body: Option<Json<Value>>,
) -> Response {
    if let Some(response) = misbehave(&standin).await {
        return response;
    }
    let text = body.and_then(|Json(value)| value.get("TTL")?.as_str().map(str::to_owned));
    let secs = text.and_then(|text| text.strip_suffix('s')?.parse().ok());
    let life = secs.map_or(DEFAULT_SESSION_LIFE, Duration::from_secs);
    let name = standin.state().create_session(life);
    Json(json!({ "ID": name })).into_response()
}

async fn renew_session(
    State(standin): State<PlatformStandin>,
    Path(name): Path<String>,
) -> Response {
    if let Some(response) = misbehave(&standin).await {
        return response;
    }
    match standin.state().renew_session(&name) {
        true => Json(json!([{ "ID": name }])).into_response(),
        false => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn end_session(State(standin): State<PlatformStandin>, Path(name): Path<String>) -> Response {
    if let Some(response) = misbehave(&standin).await {
        return response;
    }
    standin.state().end_session(&name);
    standin.changed.notify_waiters();
    "true".into_response()
}

async fn list_hosts(State(standin): State<PlatformStandin>) -> Response {
    if let Some(response) = misbehave(&standin).await {
        return response;
    }
    let state = standin.state();
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
    (index_header(state.index), Json(entries)).into_response()
}

async fn change_host(
    State(standin): State<PlatformStandin>,
    Json(entry): Json<ListedEntry>,
) -> StatusCode {
    standin.list_host(entry);
    StatusCode::OK
}

async fn remove_host(
    State(standin): State<PlatformStandin>,
    Path(name): Path<String>,
) -> StatusCode {
    standin.unlist_host(&name);
    StatusCode::OK
}

async fn change_fault(
    State(standin): State<PlatformStandin>,
    Path(mode): Path<String>,
) -> StatusCode {
    match serde_json::from_value(Value::String(mode)) {
        Ok(mode) => {
            standin.set_fault(mode);
            StatusCode::OK
        }
        Err(_) => StatusCode::BAD_REQUEST,
    }
}

fn index_header(index: u64) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("X-Consul-Index", HeaderValue::from(index));
    headers
}
