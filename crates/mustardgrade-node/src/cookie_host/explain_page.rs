//! The admin page `/explain`: where a flow would go now, and why.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::Query;
use axum::extract::rejection::QueryRejection;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{MethodRouter, get};
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use mustardgrade_core::cookie::{ExplainError, FlowCookie, HostExplanation};
use mustardgrade_core::flow::FlowKey;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::{Mutex, Semaphore};
use tokio::time::{Instant, sleep_until, timeout};

use super::actor::RegistryActor;
use super::shared_state::SharedState;

/// Minimum interval between two explanations. Each delays the packets at the host by the time that
/// it takes, so they are limited to a few a second.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of requests in progress or waiting, so that the last one is answered in time.
const MAX_REQUESTS: usize = 8;

/// Time limit of a request: less than the 3 s after which `mustardgrade explain` gives up, so that
/// it learns the cause.
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

/// `Result` with a [`PageError`].
type Result<T> = std::result::Result<T, PageError>;

/// `PageError` is the reason why the page has no explanation.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
enum PageError {
    #[error("parameter '{name}' is '{value}', expected {expected}")]
    InvalidParameter { name: &'static str, value: String, expected: &'static str },
    #[error("parameter '{0}' is missing")]
    MissingParameter(&'static str),
    #[error("the query cannot be read: {0}")]
    InvalidQuery(String),
    #[error("too many requests: the host gives at most 4 explanations a second")]
    TooManyRequests,
    #[error("no explanation within the time limit of {TIME_LIMIT:?}")]
    NoAnswer,
    #[error("{0}")]
    Unexplained(ExplainError),
}

impl PageError {
    fn status_code(&self) -> StatusCode {
        match self {
            Self::InvalidParameter { .. } | Self::MissingParameter(_) | Self::InvalidQuery(_) => {
                StatusCode::BAD_REQUEST
            }
            Self::TooManyRequests => StatusCode::TOO_MANY_REQUESTS,
            Self::NoAnswer => StatusCode::GATEWAY_TIMEOUT,
            Self::Unexplained(ExplainError::UnknownRoute { .. }) => StatusCode::NOT_FOUND,
            Self::Unexplained(ExplainError::NotLoaded) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// `ErrorBody` is the JSON of an error.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
}

impl IntoResponse for PageError {
    fn into_response(self) -> Response {
        (self.status_code(), Json(ErrorBody { error: self.to_string() })).into_response()
    }
}

/// `ExplainQuery` holds the parameters as text, so that errors name the wrong one.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ExplainQuery {
    caller: Option<String>,
    service: Option<String>,
    cookie: Option<String>,
}

impl ExplainQuery {
    fn flow_key(&self) -> Result<FlowKey> {
        Ok(FlowKey {
            caller: parse_address("caller", self.caller.as_deref())?,
            service: parse_address("service", self.service.as_deref())?,
        })
    }

    fn flow_cookie(&self) -> Result<Option<FlowCookie>> {
        let Some(text) = &self.cookie else { return Ok(None) };
        // The number parser also accepts a sign.
        let is_hex = text.chars().all(|digit| digit.is_ascii_hexdigit());
        let number = u32::from_str_radix(text, 16).ok().filter(|_| is_hex);
        number.map(|number| Some(FlowCookie(number))).ok_or_else(|| PageError::InvalidParameter {
            name: "cookie",
            value: text.clone(),
            expected: "1 to 8 hexadecimal digits",
        })
    }
}

fn parse_address(name: &'static str, text: Option<&str>) -> Result<SocketAddrV4> {
    let text = text.ok_or(PageError::MissingParameter(name))?;
    let invalid =
        || PageError::InvalidParameter { name, value: text.to_owned(), expected: "IPv4:PORT" };
    text.parse().map_err(|_invalid_address| invalid())
}

/// `ReadConfirmationAge` requests the time since the host's view was last confirmed.
#[derive(Debug)]
struct ReadConfirmationAge;

/// `ConfirmationAge` is the reply to [`ReadConfirmationAge`].
#[derive(Debug, kameo::Reply)]
struct ConfirmationAge(Option<Duration>);

impl Message<ReadConfirmationAge> for RegistryActor {
    type Reply = ConfirmationAge;

    async fn handle(
        &mut self,
        _request: ReadConfirmationAge,
        _context: &mut Context<Self, ConfirmationAge>,
    ) -> ConfirmationAge {
        ConfirmationAge(self.confirmation_age())
    }
}

/// `ExplainPage` answers requests one after the other, at a limited rate.
#[derive(Debug)]
pub(super) struct ExplainPage {
    host_name: String,
    shared: Arc<SharedState>,
    actor: ActorRef<RegistryActor>,
    waiting: Semaphore,
    /// When the next explanation may be requested; locked while one is in progress.
    next_at: Mutex<Instant>,
}

impl ExplainPage {
    pub(super) fn new(
        host_name: &str,
        shared: Arc<SharedState>,
        actor: ActorRef<RegistryActor>,
    ) -> Self {
        Self {
            host_name: host_name.to_owned(),
            shared,
            actor,
            waiting: Semaphore::new(MAX_REQUESTS),
            next_at: Mutex::new(Instant::now()),
        }
    }

    /// Returns the handler of the page.
    pub(super) fn into_handler(self) -> MethodRouter {
        let page = Arc::new(self);
        get(move |parameters: ExplainParameters| {
            let page = Arc::clone(&page);
            async move { page.respond(parameters).await }
        })
    }

    async fn respond(&self, query: ExplainParameters) -> Result<Json<HostExplanation>> {
        let Query(query) = query.map_err(|error| PageError::InvalidQuery(error.body_text()))?;
        let (key, cookie) = (query.flow_key()?, query.flow_cookie()?);
        let _permit =
            self.waiting.try_acquire().map_err(|_no_permit| PageError::TooManyRequests)?;
        let explanation = timeout(TIME_LIMIT, self.explain(key, cookie));
        explanation.await.unwrap_or(Err(PageError::NoAnswer)).map(Json)
    }

    /// Requests an explanation from the traffic thread when its turn has come.
    async fn explain(&self, key: FlowKey, cookie: Option<FlowCookie>) -> Result<HostExplanation> {
        let mut next_at = self.next_at.lock().await;
        sleep_until(*next_at).await;
        *next_at = Instant::now() + MIN_INTERVAL;
        let answer = self.shared.explanations.submit(key, cookie).await;
        let flow =
            answer.map_err(|_thread_ended| PageError::NoAnswer)?.map_err(PageError::Unexplained)?;
        drop(next_at);
        let age = self.actor.ask(ReadConfirmationAge).await.ok().and_then(|age| age.0);
        Ok(HostExplanation::new(self.host_name.clone(), age, flow))
    }
}

/// `ExplainParameters` are the parameters of a request, if they can be read.
type ExplainParameters = std::result::Result<Query<ExplainQuery>, QueryRejection>;
