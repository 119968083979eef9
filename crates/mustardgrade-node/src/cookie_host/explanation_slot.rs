//! Way of a request for an explanation to the traffic thread, and of the answer back.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mustardgrade_core::cookie::{CookieRouter, ExplainError, FlowCookie, FlowExplanation};
use mustardgrade_core::flow::FlowKey;
use tokio::sync::oneshot;

/// `ExplanationResult` is an explanation, or why there is none.
pub(super) type ExplanationResult = Result<FlowExplanation, ExplainError>;

/// `ExplainRequest` asks where a flow would go now; with a cookie, where a packet of it would.
#[derive(Debug)]
pub(super) struct ExplainRequest {
    key: FlowKey,
    cookie: Option<FlowCookie>,
    reply_sender: oneshot::Sender<ExplanationResult>,
}

impl ExplainRequest {
    /// Sends the explanation, unless nobody waits for it any more.
    pub(super) fn answer(self, router: &CookieRouter, now: Duration) {
        if self.reply_sender.is_closed() {
            return;
        }
        let explanation = router.explain_flow(self.key, self.cookie, now);
        let _receiver_dropped = self.reply_sender.send(explanation);
    }
}

/// `ExplanationSlot` holds at most one request for the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct ExplanationSlot {
    request: Mutex<Option<ExplainRequest>>,
    /// Whether there is a request; read for each packet, which must not cost a lock.
    is_filled: AtomicBool,
}

impl ExplanationSlot {
    /// Puts in a request, in place of one that nobody waits for any more; returns the receiver of
    /// its answer.
    pub(super) fn submit(
        &self,
        key: FlowKey,
        cookie: Option<FlowCookie>,
    ) -> oneshot::Receiver<ExplanationResult> {
        let (reply_sender, reply_receiver) = oneshot::channel();
        if let Ok(mut request) = self.request.lock() {
            *request = Some(ExplainRequest { key, cookie, reply_sender });
            self.is_filled.store(true, Ordering::Release);
        }
        reply_receiver
    }

    /// Takes the request out. The traffic thread never waits for the lock, since the other thread
    /// may lose its processor while it holds it; it then takes the request after the next packet.
    pub(super) fn take(&self) -> Option<ExplainRequest> {
        if !self.is_filled.load(Ordering::Acquire) {
            return None;
        }
        let mut request = self.request.try_lock().ok()?;
        self.is_filled.store(false, Ordering::Release);
        request.take()
    }
}
