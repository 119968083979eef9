//! The loop that the tasks of callers and upstreams run.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Interval, MissedTickBehavior};

/// `TaskEvent` is what a task has to act upon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskEvent {
    /// A socket may have datagrams to receive.
    SocketReadable,
    /// The periodic timer has fired.
    TimerFired,
}

/// `TaskLoop` waits for the events of a task, until the handle of the task is dropped.
#[derive(Debug)]
pub(crate) struct TaskLoop {
    poll_timer: Interval,
    /// Value set by the handle; closed when the handle is dropped.
    control_receiver: watch::Receiver<bool>,
}

impl TaskLoop {
    /// Creates a loop whose timer fires at each `poll_interval`.
    pub(crate) fn new(poll_interval: Duration, control_receiver: watch::Receiver<bool>) -> Self {
        let mut poll_timer = tokio::time::interval(poll_interval);
        poll_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self { poll_timer, control_receiver }
    }

    /// Returns the value that the handle has set last.
    pub(crate) fn control_value(&self) -> bool {
        *self.control_receiver.borrow()
    }

    /// Waits for the next event; returns `None` when the handle has been dropped.
    ///
    /// `readable` completes when a socket of the task becomes readable.
    pub(crate) async fn next_event(
        &mut self,
        readable: impl Future<Output = std::io::Result<()>>,
    ) -> Option<TaskEvent> {
        tokio::pin!(readable);
        loop {
            tokio::select! {
                changed = self.control_receiver.changed() => {
                    if changed.is_err() {
                        return None;
                    }
                }
                _ = &mut readable => return Some(TaskEvent::SocketReadable),
                _ = self.poll_timer.tick() => return Some(TaskEvent::TimerFired),
            }
        }
    }
}
