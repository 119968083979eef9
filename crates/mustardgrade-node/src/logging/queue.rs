//! The queue between the threads that log and the one that writes.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that wait to be written; more are left out and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Time in which lines gather before they are written in one go.
const WRITE_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Longest wait for the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two looks at what is left to write.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Lines that found the queue full.
static OMITTED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines that are queued and not written yet.
static UNWRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// `LogQueueWriter` takes formatted lines without ever waiting.
struct LogQueueWriter(SyncSender<Vec<u8>>);

impl Write for LogQueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        UNWRITTEN_LINES.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::Relaxed);
            OMITTED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Sends logs to standard output through a thread of their own.
///
/// # Errors
///
/// Fails if the thread cannot be started or logging is set up already.
pub fn init_logging(default_filter: &str) -> std::io::Result<()> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&receiver))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(default_filter))
        .target(env_logger::Target::Pipe(Box::new(LogQueueWriter(sender))))
        .format_timestamp_millis()
        .write_style(env_logger::WriteStyle::Never)
        .try_init()
        .map_err(std::io::Error::other)
}

/// Waits until every queued line is written, for a short time at most; to be called at the end of the
/// process, by a thread that has nothing else to do.
pub fn flush_logs() {
    let mut waited = Duration::ZERO;
    while UNWRITTEN_LINES.load(Ordering::Relaxed) > 0 && waited < FLUSH_TIMEOUT {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
        waited += FLUSH_POLL_INTERVAL;
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut stdout = std::io::stdout();
    let mut batch = Vec::new();
    while let Ok(line) = receiver.recv() {
        let mut line_count = 1;
        batch.extend_from_slice(&line);
        std::thread::sleep(WRITE_BATCH_DELAY);
        while let Ok(line) = receiver.try_recv() {
            line_count += 1;
            batch.extend_from_slice(&line);
        }
        let omitted = OMITTED_LINES.swap(0, Ordering::Relaxed);
        if omitted > 0 {
            batch.extend_from_slice(format!("log queue was full omitted={omitted}\n").as_bytes());
        }
        // Nobody is left to tell if standard output is gone.
        let _write_failed = stdout.write_all(&batch).and_then(|()| stdout.flush());
        batch.clear();
        UNWRITTEN_LINES.fetch_sub(line_count, Ordering::Relaxed);
    }
}
