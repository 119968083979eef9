//! Calls between hosts, by tarpc over TCP, sealed with the fleet key.

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

use crate::metrics::{ByteKind, HostMetrics};

/// Time after which a call is given up; a host that is alive answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest frame of a call; the largest placement and record lists stay below it.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Channel number of calls in frame headers.
const CALL_CHANNEL: u8 = 200;

/// Channel number of replies in frame headers.
const REPLY_CHANNEL: u8 = 201;

/// `Result` of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// `CallError` says why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// The other host cannot be reached or does not answer in time.
    #[error("host does not answer: {0}")]
    Unreachable(String),
    /// The reply is not authentic.
    #[error("reply is not accepted: {0}")]
    Refused(#[from] mustardgrade_wire::peer::FrameError),
}

/// `HostCalls` is the service that every host offers to the others.
///
/// Both directions carry sealed frames, since TCP alone authenticates nobody.
#[tarpc::service]
pub trait HostCalls {
    /// Carries out a sealed [`PeerCall`] and returns a sealed [`PeerReply`], empty if refused.
    async fn call(frame: Vec<u8>) -> Vec<u8>;
}

/// `IncomingCall` is an authentic call that waits for its reply.
#[derive(Debug)]
pub struct IncomingCall {
    /// The calling host.
    pub from: HostIncarnation,
    /// The call.
    pub call: PeerCall,
    /// Takes the reply.
    pub reply: oneshot::Sender<PeerReply>,
}

/// `CallClient` calls other hosts.
#[derive(Debug, Clone)]
pub struct CallClient {
    port: u16,
    sealer: Arc<Mutex<FrameSealer>>,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
}

impl CallClient {
    /// Creates the client of a host.
    #[must_use]
    pub fn new(
        me: HostIncarnation,
        keys: &FleetKeys,
        port: u16,
        metrics: Arc<HostMetrics>,
    ) -> Self {
        let sealer = FrameSealer::new(me, CALL_CHANNEL, keys.clone());
        Self { port, sealer: Arc::new(Mutex::new(sealer)), keys: keys.clone(), metrics }
    }

    /// Calls the host at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the host does not answer in time or the reply is not authentic.
    pub async fn call(&self, address: Ipv4Addr, call: &PeerCall) -> Result<PeerReply> {
        let frame = seal(&self.sealer, call);
        self.metrics.count_bytes(ByteKind::ControlSent, frame.len());
        let reply = tokio::time::timeout(CALL_TIMEOUT, self.exchange(address, frame))
            .await
            .map_err(|_elapsed| CallError::Unreachable("timeout".to_owned()))??;
        // Each reply arrives on a connection of its own, so a replay cannot reach this opener.
        let opened = FrameOpener::new(self.keys.clone()).open::<PeerReply>(&reply)?.body;
        Ok(opened)
    }

    async fn exchange(&self, address: Ipv4Addr, frame: Vec<u8>) -> Result<Vec<u8>> {
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

/// `CallServer` takes calls of other hosts and passes them on.
#[derive(Debug, Clone)]
struct CallServer {
    opener: Arc<Mutex<FrameOpener>>,
    sealer: Arc<Mutex<FrameSealer>>,
    metrics: Arc<HostMetrics>,
    calls: mpsc::Sender<IncomingCall>,
}

impl HostCalls for CallServer {
    async fn call(self, _: tarpc::context::Context, frame: Vec<u8>) -> Vec<u8> {
        let opened = match self.opener.lock() {
            Ok(mut opener) => {
                opener.open::<PeerCall>(&frame).map(|frame| (frame.sender, frame.body))
            }
            Err(_) => return Vec::new(),
        };
        let Ok((from, call)) = opened else { return Vec::new() };
        let (reply, waiting) = oneshot::channel();
        if self.calls.try_send(IncomingCall { from, call, reply }).is_err() {
            return seal(&self.sealer, &PeerReply::Declined);
        }
        let answer = waiting.await.unwrap_or(PeerReply::Declined);
        let frame = seal(&self.sealer, &answer);
        self.metrics.count_bytes(ByteKind::ControlSent, frame.len());
        frame
    }
}

/// Serves calls on a bound port until the task is dropped.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn serve_calls(
    address: SocketAddr,
    me: HostIncarnation,
    keys: FleetKeys,
    metrics: Arc<HostMetrics>,
    calls: mpsc::Sender<IncomingCall>,
) -> std::io::Result<impl Future<Output = ()>> {
    let mut listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let server = CallServer {
        opener: Arc::new(Mutex::new(FrameOpener::new(keys.clone()))),
        sealer: Arc::new(Mutex::new(FrameSealer::new(me, REPLY_CHANNEL, keys))),
        metrics,
        calls,
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
