//! `mustardgrade manifest`.

use std::net::SocketAddrV4;
use std::time::Duration;

use argh::FromArgs;
use mustardgrade::store::{HttpClient, check_status};

use super::{CommandError, Result, block_on};

/// Timeout of the HTTP request to the host.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// Shows the manifest, evacuations and upstreams in force on a host that routes flows by cookie,
/// one rule per line, with a comment that names its origin.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "manifest")]
pub struct ManifestCommand {
    /// address and port of the host's HTTP pages
    #[argh(option)]
    host: SocketAddrV4,
}

/// Prints the page `/rules` of the host.
///
/// # Errors
///
/// Fails if the host does not answer in time or answers with an error.
pub fn run_manifest(command: &ManifestCommand) -> Result<u8> {
    let text = block_on(async {
        let url = format!("http://{}", command.host);
        let client = HttpClient::new(&url, HOST_TIMEOUT).map_err(CommandError::failed)?;
        let request = client.get("/rules").timeout(HOST_TIMEOUT);
        let response = request.send().await.map_err(CommandError::failed)?;
        let response = check_status(response).map_err(CommandError::failed)?;
        response.text().await.map_err(CommandError::failed)
    })?;
    print!("{text}");
    Ok(0)
}
