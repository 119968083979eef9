//! Start and end of the control thread.

use std::thread::JoinHandle;

use tokio::sync::watch;

use super::{HostError, Result};

/// Starts the control thread with its own single-threaded runtime, runs `start` on it, and returns
/// when `start` has completed.
///
/// The thread ends when `stop` becomes true or its sender is dropped. `on_end` is called when the
/// thread ends, also if `start` fails.
///
/// # Errors
///
/// Fails if the thread cannot be started, and with the error of `start`.
pub(crate) fn spawn_control_thread<F, S>(
    start: F,
    mut stop: watch::Receiver<bool>,
    on_end: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>>
where
    F: FnOnce() -> S + Send + 'static,
    S: Future<Output = Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (start_result_sender, start_result_receiver) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async move {
            match start().await {
                Ok(()) => {
                    let _receiver_dropped = start_result_sender.send(Ok(()));
                    let _sender_dropped = stop.wait_for(|stop| *stop).await;
                    on_end();
                }
                Err(error) => {
                    on_end();
                    let _receiver_dropped = start_result_sender.send(Err(error));
                }
            }
        });
    })?;
    match start_result_receiver.recv() {
        Ok(Ok(())) => Ok(thread),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(HostError::ControlThreadEnded),
    }
}
