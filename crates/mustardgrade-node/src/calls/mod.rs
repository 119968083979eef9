//! Remote procedure calls between hosts: tarpc over TCP, in frames sealed with the fleet key.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use mustardgrade_core::identity::HostIncarnation;
use mustardgrade_wire::peer::{FleetKeys, FrameOpener, FrameSealer, PeerCall, PeerReply};
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::{HostMetrics, SentByteKind};

/// Timeout of a call; a live host answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of a frame; the largest placements and record lists stay below it.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Frame channel of calls; each sender of a host seals on a channel of its own.
const CALL_CHANNEL: u8 = 200;

/// Frame channel of replies.
const REPLY_CHANNEL: u8 = 201;

/// Result of a call to another host.
pub type Result<T> = std::result::Result<T, CallError>;

/// `CallError` is the reason why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed, or no reply arrived within the timeout.
    #[error("host does not answer: {0}")]
    Unreachable(String),
    /// The reply frame is truncated, forged or unreadable.
    #[error("invalid reply: {0}")]
    InvalidReply(#[from] mustardgrade_wire::peer::FrameError),
}

/// `HostCalls` is the RPC service that every host offers to the other hosts.
///
/// Calls and replies are sealed frames, because TCP does not authenticate the other end.
#[tarpc::service]
pub trait HostCalls {
    /// Executes a sealed [`PeerCall`] and returns a sealed [`PeerReply`], or no bytes if the frame
    /// is not authentic.
    async fn call(frame: Vec<u8>) -> Vec<u8>;
}

/// `IncomingCall` is an authenticated call that awaits its reply.
#[derive(Debug)]
pub struct IncomingCall {
    /// Host that sent the call, and its current run.
    pub sender: HostIncarnation,
    /// Requested operation.
    pub call: PeerCall,
    /// Channel on which the reply is returned to the server.
    pub reply_sender: oneshot::Sender<PeerReply>,
}

/// `CallClient` sends calls to other hosts.
#[derive(Debug, Clone)]
pub struct CallClient {
    port: u16,
    sealer: Arc<Mutex<FrameSealer>>,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
}

impl CallClient {
    /// Creates the client of the local host; the other hosts listen on `port`.
    #[must_use]
    pub fn new(
        local_incarnation: HostIncarnation,
        keys: &FleetKeys,
        port: u16,
        metrics: Arc<HostMetrics>,
    ) -> Self {
        let sealer = FrameSealer::new(local_incarnation, CALL_CHANNEL, keys.clone());
        Self { port, sealer: Arc::new(Mutex::new(sealer)), keys: keys.clone(), metrics }
    }

    /// Sends a call to the host at `address` and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer in time or the reply is not authentic.
    pub async fn call(&self, address: Ipv4Addr, call: &PeerCall) -> Result<PeerReply> {
        let frame = seal(&self.sealer, call);
        self.metrics.add_sent_bytes(SentByteKind::Control, frame.len());
        let reply_frame = tokio::time::timeout(CALL_TIMEOUT, self.exchange_frames(address, frame))
            .await
            .map_err(|_elapsed| CallError::Unreachable("timeout".to_owned()))??;
        // Each reply arrives on a connection of its own, so no replayed one reaches this opener.
        let reply = FrameOpener::new(self.keys.clone()).open::<PeerReply>(&reply_frame)?.body;
        Ok(reply)
    }

    async fn exchange_frames(&self, address: Ipv4Addr, frame: Vec<u8>) -> Result<Vec<u8>> {
        let address = SocketAddr::from((address, self.port));
        let mut connect = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = connect.await.map_err(|error| CallError::Unreachable(error.to_string()))?;
        let client = HostCallsClient::new(tarpc::client::Config::default(), transport).spawn();
        client
            .call(tarpc::context::current(), frame)
            .await
            .map_err(|error| CallError::Unreachable(error.to_string()))
    }
}

/// `CallServer` verifies calls from other hosts and queues them; it declines calls if the queue is
/// full.
#[derive(Debug, Clone)]
struct CallServer {
    opener: Arc<Mutex<FrameOpener>>,
    sealer: Arc<Mutex<FrameSealer>>,
    metrics: Arc<HostMetrics>,
    incoming_calls: mpsc::Sender<IncomingCall>,
}

impl HostCalls for CallServer {
    async fn call(self, _: tarpc::context::Context, frame: Vec<u8>) -> Vec<u8> {
        let opened_frame = match self.opener.lock() {
            Ok(mut opener) => {
                opener.open::<PeerCall>(&frame).map(|frame| (frame.sender, frame.body))
            }
            Err(_) => return Vec::new(),
        };
        let Ok((sender, call)) = opened_frame else { return Vec::new() };
        let (reply_sender, reply_receiver) = oneshot::channel();
        if self.incoming_calls.try_send(IncomingCall { sender, call, reply_sender }).is_err() {
            return seal(&self.sealer, &PeerReply::Declined);
        }
        let reply = reply_receiver.await.unwrap_or(PeerReply::Declined);
        let frame = seal(&self.sealer, &reply);
        self.metrics.add_sent_bytes(SentByteKind::Control, frame.len());
        frame
    }
}

/// Binds `address` and returns a future that queues calls in `incoming_calls` until it is dropped.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn serve_calls(
    address: SocketAddr,
    local_incarnation: HostIncarnation,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
    incoming_calls: mpsc::Sender<IncomingCall>,
) -> std::io::Result<impl Future<Output = ()>> {
    let mut listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let server = CallServer {
        opener: Arc::new(Mutex::new(FrameOpener::new(keys.clone()))),
        sealer: Arc::new(Mutex::new(FrameSealer::new(local_incarnation, REPLY_CHANNEL, keys))),
        metrics,
        incoming_calls,
    };
    Ok(listener.filter_map(|transport| std::future::ready(transport.ok())).for_each(
        move |transport| {
            let server = server.clone();
            let channel = BaseChannel::with_defaults(transport);
            let requests = channel.execute(server.serve());
            tokio::spawn(requests.for_each(|request| async move {
                tokio::spawn(request);
            }));
            std::future::ready(())
        },
    ))
}

fn seal<T: serde::Serialize>(sealer: &Arc<Mutex<FrameSealer>>, body: &T) -> Vec<u8> {
    match sealer.lock() {
        Ok(mut sealer) => sealer.seal(body, &[]),
        Err(_) => Vec::new(),
    }
}
