//! Starts, reloads and stops the threads of an entry host.

mod control;
mod errors;
mod rules_control;
mod thread_settings;

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use mustardgrade_core::clock::Clock;
use mustardgrade_core::identity::{HostId, HostIncarnation};
use mustardgrade_core::rule::RuleSet;
use tokio::sync::{mpsc, watch};

use crate::clock::UnixClock;
use crate::cookie_host::{
    CookieHostSettings, CookieHostThreads, LifecycleChannels, PlatformAdapters, ReloadSettings,
    start_cookie_threads,
};
use crate::metrics::HostMetrics;
use crate::requests::{RequestChannels, spawn_request_thread};
use crate::settings::HostSettings;
use crate::traffic::{SharedTrafficState, TrafficThreadChannels, spawn_traffic_thread};

pub(crate) use control::spawn_control_thread;
pub use errors::{HostError, Result};
use rules_control::ControlThreadParts;
pub use thread_settings::fingerprint_seed;
use thread_settings::{request_settings, traffic_thread_settings};

/// Maximum number of queued commands per traffic thread.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of request packets queued for the request thread; further ones are dropped and
/// counted.
const REQUEST_QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of record transfers queued for the control thread.
const TRANSFER_QUEUE_CAPACITY: usize = 256;

/// Time beyond the configured stop timeout after which a host that routes by cookie stops
/// regardless of its leave phase.
const STOP_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);

/// Time after which a host that places flows by rules stops regardless of handover and open
/// requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a stop checks whether handover and requests are complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `EntryHost` is the handle of a running entry host.
#[derive(Debug)]
pub struct EntryHost {
    name: String,
    metrics: Arc<HostMetrics>,
    status_receiver: watch::Receiver<String>,
    leave_sender: watch::Sender<bool>,
    stop_sender: watch::Sender<bool>,
    leave_complete: watch::Receiver<bool>,
    requests_idle: watch::Receiver<bool>,
    reload_sender: Option<mpsc::Sender<ReloadSettings>>,
    stop_timeout: Duration,
    threads: Vec<JoinHandle<()>>,
}

impl EntryHost {
    /// Starts a host that places flows by rules; its sockets are bound when this returns.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound, a thread cannot be started, or the store client cannot be
    /// created.
    pub fn start(settings: HostSettings) -> Result<Self> {
        let settings = Arc::new(settings);
        let clock = UnixClock::new();
        let local_incarnation = HostIncarnation {
            host: HostId::from_name(&settings.name),
            // Milliseconds since the epoch, so that a restarted host has a higher incarnation.
            incarnation: clock.now().as_millis() as u64,
        };
        let traffic_thread_count = settings.flow.traffic_threads;
        let metrics = HostMetrics::new(usize::from(traffic_thread_count));
        let traffic_state = SharedTrafficState::new();
        let (leave_sender, leave_receiver) = watch::channel(false);
        let (stop_sender, stop_receiver) = watch::channel(false);
        let (requests_idle_sender, requests_idle) = watch::channel(false);
        let (rules_sender, rules_receiver) = watch::channel(Arc::new(RuleSet::default()));
        let (packet_sender, packet_receiver) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (transfer_sender, transfer_receiver) = mpsc::channel(TRANSFER_QUEUE_CAPACITY);
        let mut threads = Vec::new();
        let mut command_senders = Vec::new();
        for lane in 0..traffic_thread_count {
            let (sender, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
            command_senders.push(sender);
            threads.push(spawn_traffic_thread(
                traffic_thread_settings(&settings, local_incarnation, lane),
                Arc::clone(&traffic_state),
                Arc::clone(&metrics),
                clock,
                TrafficThreadChannels {
                    commands: receiver,
                    request_packets: packet_sender.clone(),
                    transfers: transfer_sender.clone(),
                    stop_requested: stop_receiver.clone(),
                },
            )?);
        }
        threads.push(spawn_request_thread(
            request_settings(&settings, local_incarnation),
            Arc::clone(&traffic_state),
            Arc::clone(&metrics),
            clock,
            RequestChannels {
                packets: packet_receiver,
                rules: rules_receiver,
                leave_requested: leave_receiver.clone(),
                is_idle: requests_idle_sender,
                stop_requested: stop_receiver.clone(),
            },
        )?);
        let (status_sender, status_receiver) = watch::channel(String::from("{}"));
        let (leave_complete_sender, leave_complete) = watch::channel(false);
        let control = ControlThreadParts {
            settings: Arc::clone(&settings),
            local_incarnation,
            clock,
            traffic_state,
            metrics: Arc::clone(&metrics),
            command_senders,
            transfer_receiver,
            rules_sender,
            status_sender,
            leave_complete_sender,
            leave_receiver,
            stop_receiver,
        };
        threads.push(control.spawn()?);
        let name = settings.name.clone();
        Ok(Self {
            name,
            metrics,
            status_receiver,
            leave_sender,
            stop_sender,
            leave_complete,
            requests_idle,
            reload_sender: None,
            stop_timeout: STOP_TIMEOUT,
            threads,
        })
    }

    /// Starts a host that routes flows by cookie, connected to a platform by its adapters; the
    /// sockets are bound when this returns.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be bound or a thread cannot be started.
    pub fn start_cookie_host(
        settings: CookieHostSettings,
        adapters: PlatformAdapters,
    ) -> Result<Self> {
        let (leave_sender, leave_receiver) = watch::channel(false);
        let (stop_sender, stop_receiver) = watch::channel(false);
        let (leave_complete_sender, leave_complete) = watch::channel(false);
        let (status_sender, status_receiver) = watch::channel(String::from("{}"));
        // Open flows stay on their upstreams and there is no request thread, so only the leave
        // phase has to complete before the stop.
        let (_requests_idle_sender, requests_idle) = watch::channel(true);
        let name = settings.name.clone();
        let stop_timeout = settings.stop_timeout + STOP_TIMEOUT_MARGIN;
        let channels = LifecycleChannels {
            leave_receiver,
            stop_receiver,
            leave_complete_sender,
            status_sender,
        };
        let CookieHostThreads { threads, metrics, reload_sender } =
            start_cookie_threads(settings, adapters, channels)?;
        Ok(Self {
            name,
            metrics,
            status_receiver,
            leave_sender,
            stop_sender,
            leave_complete,
            requests_idle,
            reload_sender: Some(reload_sender),
            stop_timeout,
            threads,
        })
    }

    /// Queues changed settings for a host that routes flows by cookie.
    ///
    /// Returns false if the queue is full or the host does not route by cookie.
    #[must_use]
    pub fn reload(&self, reload: ReloadSettings) -> bool {
        self.reload_sender.as_ref().is_some_and(|sender| sender.try_send(reload).is_ok())
    }

    /// Returns the configured name of the host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the metrics, which all threads of the host update.
    #[must_use]
    pub fn metrics(&self) -> &Arc<HostMetrics> {
        &self.metrics
    }

    /// Returns the latest published status as JSON; `{}` if there is none yet.
    #[must_use]
    pub fn status(&self) -> String {
        self.status_receiver.borrow().clone()
    }

    /// Stops gracefully: leaves the fleet, completes handover and open requests, and then ends all
    /// threads.
    ///
    /// Returns false if the stop timeout expired before handover and requests were complete.
    pub fn stop(self) -> bool {
        self.leave_sender.send_replace(true);
        let deadline = std::time::Instant::now() + self.stop_timeout;
        let is_finished = || *self.leave_complete.borrow() && *self.requests_idle.borrow();
        while !is_finished() && std::time::Instant::now() < deadline {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        let graceful = is_finished();
        self.kill();
        graceful
    }

    /// Ends all threads without handover, as a crash would, and waits for them.
    pub fn kill(self) {
        self.stop_sender.send_replace(true);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!(host = self.name.as_str(); "host thread panicked");
            }
        }
    }
}
