//! Request to a host that places flows by cookie.

use std::net::SocketAddrV4;
use std::time::Duration;

use mustardgrade::core::cookie::HostExplanation;
use mustardgrade::store::HttpClient;
use serde::Deserialize;

use super::text::format_explanation;
use super::{CommandError, ExplainCommand, Result};
use crate::commands::block_on;

/// Time limit of the request. A host answers within 2.5 s, also if it can only state a cause.
const HOST_TIMEOUT: Duration = Duration::from_secs(3);

/// `ErrorBody` is the JSON with which a host answers if it cannot explain.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
}

/// Prints the explanation of a host.
///
/// # Errors
///
/// Fails if the host does not answer in time, or cannot explain the flow.
pub(super) fn explain_by_host(command: &ExplainCommand, host: SocketAddrV4) -> Result<u8> {
    let body = block_on(fetch_explanation(command, host))?;
    let explanation: HostExplanation = serde_json::from_str(&body)
        .map_err(|error| CommandError::failed(format!("answer of host {host}: {error}")))?;
    match command.json {
        true => println!("{body}"),
        false => print!("{}", format_explanation(&explanation)),
    }
    Ok(0)
}

/// Returns the JSON of the host's explanation.
async fn fetch_explanation(command: &ExplainCommand, host: SocketAddrV4) -> Result<String> {
    let no_answer = |error: &dyn std::error::Error| {
        let cause = root_cause(error);
        CommandError::failed(format!("host {host} does not answer (time limit 3 s): {cause}"))
    };
    let mut query =
        vec![("caller", command.caller.to_string()), ("service", command.service.to_string())];
    query.extend(command.cookie.clone().map(|cookie| ("cookie", cookie)));
    let client = HttpClient::new(&format!("http://{host}"), HOST_TIMEOUT);
    let client = client.map_err(CommandError::failed)?;
    let request = client.get("/explain").query(&query).timeout(HOST_TIMEOUT);
    let response = request.send().await.map_err(|error| no_answer(&error))?;
    let status = response.status();
    let body = response.text().await.map_err(|error| no_answer(&error))?;
    match status.is_success() {
        true => Ok(body),
        false => Err(host_error(host, status.as_u16(), &body)),
    }
}

/// Returns the error for an answer other than an explanation.
fn host_error(host: SocketAddrV4, status: u16, body: &str) -> CommandError {
    let Ok(body) = serde_json::from_str::<ErrorBody>(body) else {
        // Another server, or a host of a version without explanations.
        let message =
            format!("host {host} answers with HTTP status {status}; is it an admin port?");
        return CommandError::failed(message);
    };
    let message = format!("host {host}: {}", body.error);
    match status {
        // The parameters are wrong, or name no route.
        400 | 404 => CommandError::invalid_input(message),
        _ => CommandError::failed(message),
    }
}

/// Returns the innermost cause of an error, which names what went wrong.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
