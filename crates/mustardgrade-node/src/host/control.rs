//! The control thread, from its start until the host stops.

use std::thread::JoinHandle;

use tokio::sync::watch;

use super::{HostError, Result};

/// Starts a thread with a runtime of its own, and returns when `start` has bound all sockets there.
///
/// The thread ends when `stop` says so; `ended` is called then, and also if `start` fails.
///
/// # Errors
///
/// Fails if the thread cannot be started, and with the error of `start`.
pub(crate) fn spawn_control<F, S>(
    start: F,
    mut stop: watch::Receiver<bool>,
    ended: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>>
where
    F: FnOnce() -> S + Send + 'static,
    S: Future<Output = Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (bound, bound_seen) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async move {
            match start().await {
                Ok(()) => {
                    let _gone = bound.send(Ok(()));
                    let _gone = stop.wait_for(|stop| *stop).await;
                    ended();
                }
                Err(error) => {
                    ended();
                    let _gone = bound.send(Err(error));
                }
            }
        });
    })?;
    match bound_seen.recv() {
        Ok(Ok(())) => Ok(thread),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(HostError::ThreadEnded),
    }
}
