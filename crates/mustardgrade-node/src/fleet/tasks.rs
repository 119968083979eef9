//! Tasks of the control thread that feed the registry actor.

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
use mustardgrade_wire::peer::{FleetKeys, FrameOpener, PeerBody, PeerCall, PeerReply};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

use super::actor::{ReadPages, ReadRegistry, RegistryActor};
use crate::calls::IncomingCall;
use crate::metrics::{HostMetrics, metrics_handler};

/// Time between two ticks of the controller.
const TICK: Duration = Duration::from_millis(100);

/// Largest datagram between hosts.
const MAX_FRAME: usize = 2_048;

/// Ticks the controller.
pub(super) fn spawn_fleet_ticker(actor: ActorRef<RegistryActor>) {
    tokio::spawn(async move {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            if actor.tell(WatchInput::Tick).await.is_err() {
                return;
            }
        }
    });
}

/// Reads datagrams of other hosts.
pub(super) fn spawn_fleet_reader(
    actor: ActorRef<RegistryActor>,
    socket: Arc<UdpSocket>,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
) {
    tokio::spawn(async move {
        let mut opener = FrameOpener::new(keys);
        let mut buffer = [0_u8; MAX_FRAME];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            match opener.open::<PeerBody>(&buffer[..length]).map(|frame| frame.body) {
                Ok(PeerBody::Fleet(message)) => {
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

/// Answers calls of other hosts.
pub(super) fn spawn_registry_calls(
    actor: ActorRef<RegistryActor>,
    mut calls: mpsc::Receiver<IncomingCall>,
) {
    tokio::spawn(async move {
        while let Some(incoming) = calls.recv().await {
            let reply = match incoming.call {
                PeerCall::Registry { after } => match actor.ask(ReadRegistry(after)).await {
                    Ok(reply) => PeerReply::Registry(reply.0),
                    Err(_) => PeerReply::Declined,
                },
                PeerCall::State
                | PeerCall::Exceptions
                | PeerCall::Settled { .. }
                | PeerCall::Records { .. }
                | PeerCall::Transfer { .. } => PeerReply::Declined,
            };
            let _gone = incoming.reply_sender.send(reply);
        }
    });
}

/// Answers the platform's question whether the host is ready.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub(super) async fn serve_ready(
    address: SocketAddr,
    path: &str,
    ready: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let answer = move || {
        let code = match *ready.borrow() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        std::future::ready(code)
    };
    serve(address, Router::new().route(path, get(answer))).await
}

/// Serves metrics, status and rules to operators.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub(super) async fn serve_pages(
    address: SocketAddr,
    metrics: &Arc<HostMetrics>,
    actor: ActorRef<RegistryActor>,
) -> std::io::Result<()> {
    let status_actor = actor.clone();
    let status = move || {
        let actor = status_actor.clone();
        async move {
            let body = actor.ask(ReadPages).await.map(|pages| pages.status).unwrap_or_default();
            ([(CONTENT_TYPE, "application/json")], body)
        }
    };
    let rules = move || {
        let actor = actor.clone();
        async move { actor.ask(ReadPages).await.map(|pages| pages.rules).unwrap_or_default() }
    };
    let router = Router::new()
        .route("/metrics", metrics_handler(metrics))
        .route("/status", get(status))
        .route("/rules", get(rules));
    serve(address, router).await
}

async fn serve(address: SocketAddr, router: Router) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            log::warn!(error:% = error; "HTTP server ended");
        }
    });
    Ok(())
}
