//! Tasks of the control thread: timer, message receiver, call responder and HTTP servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::routing::get;
use kameo::actor::ActorRef;
use mustardgrade_core::watch::WatchInput;
use mustardgrade_wire::peer::{FleetKeys, FrameOpener, PeerCall, PeerMessage, PeerReply};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use super::actor::{ReadAdminPages, ReadChanges, RegistryActor};
use super::explain_page::ExplainPage;
use crate::calls::IncomingCall;
use crate::metrics::{HostMetrics, metrics_handler};

/// Interval of the timer ticks of the watch controller.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Size of the receive buffer for datagrams from other hosts.
const MAX_FRAME_BYTES: usize = 2_048;

/// Starts the task that sends a tick to the actor at each interval.
pub(super) fn spawn_ticker(actor: ActorRef<RegistryActor>) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if actor.tell(WatchInput::Tick).await.is_err() {
                return;
            }
        }
    });
}

/// Starts the task that receives messages from other hosts and passes authentic ones to the actor.
pub(super) fn spawn_message_receiver(
    actor: ActorRef<RegistryActor>,
    socket: Arc<UdpSocket>,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
) {
    tokio::spawn(async move {
        let mut opener = FrameOpener::new(keys);
        let mut buffer = [0_u8; MAX_FRAME_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            match opener.open::<PeerMessage>(&buffer[..length]).map(|frame| frame.body) {
                Ok(PeerMessage::Fleet(message)) => {
                    if actor.tell(WatchInput::Message(message)).await.is_err() {
                        return;
                    }
                }
                Ok(_) | Err(_) => {
                    metrics.refused_frames.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    });
}

/// Starts the task that replies to calls from other hosts; only requests for changes are accepted.
pub(super) fn spawn_call_responder(
    actor: ActorRef<RegistryActor>,
    mut incoming_calls: mpsc::Receiver<IncomingCall>,
) {
    tokio::spawn(async move {
        while let Some(incoming) = incoming_calls.recv().await {
            let reply = match incoming.call {
                PeerCall::RegistryChanges { after } => match actor.ask(ReadChanges(after)).await {
                    Ok(reply) => PeerReply::RegistryChanges(reply.0),
                    Err(_) => PeerReply::Declined,
                },
                PeerCall::Configuration
                | PeerCall::AllExceptions
                | PeerCall::BucketExceptions { .. }
                | PeerCall::Records { .. }
                | PeerCall::TransferRecords { .. } => PeerReply::Declined,
            };
            let _receiver_dropped = incoming.reply_sender.send(reply);
        }
    });
}

/// Starts the HTTP server for the readiness probe: status 200 if the host is ready, otherwise 503.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub(super) async fn serve_readiness(
    address: SocketAddr,
    path: &str,
    ready_receiver: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let respond = move || {
        let status_code = match *ready_receiver.borrow() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(status_code)
    };
    spawn_http_server(address, Router::new().route(path, get(respond))).await
}

/// Starts the HTTP server for `/metrics`, `/status`, `/rules` and `/explain`.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub(super) async fn serve_admin_pages(
    address: SocketAddr,
    metrics: &Arc<HostMetrics>,
    actor: ActorRef<RegistryActor>,
    explain_page: ExplainPage,
) -> std::io::Result<()> {
    let status_actor = actor.clone();
    let status = move || {
        let actor = status_actor.clone();
        async move {
            let body =
                actor.ask(ReadAdminPages).await.map(|pages| pages.status).unwrap_or_default();
            ([(CONTENT_TYPE, "application/json")], body)
        }
    };
    let rules = move || {
        let actor = actor.clone();
        async move { actor.ask(ReadAdminPages).await.map(|pages| pages.rules).unwrap_or_default() }
    };
    let router = Router::new()
        .route("/metrics", metrics_handler(metrics))
        .route("/status", get(status))
        .route("/rules", get(rules))
        .route("/explain", explain_page.into_handler());
    spawn_http_server(address, router).await
}

async fn spawn_http_server(address: SocketAddr, router: Router) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::warn!(error:% = error; "HTTP server failed");
        }
    });
    Ok(())
}
