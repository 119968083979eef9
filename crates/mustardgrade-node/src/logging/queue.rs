//! Queue between the threads that log and the thread that writes to standard output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Maximum number of queued lines; further ones are omitted and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Delay after the first line of a batch, so that several lines are written with one call.
const WRITE_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Maximum time that [`flush_logs`] waits for the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which [`flush_logs`] checks for unwritten lines.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of lines omitted because the queue was full, since the last batch.
static OMITTED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines that are queued or in the current batch and not yet written.
static UNWRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// `LogQueueWriter` queues formatted lines without blocking; each `write` must be one whole line.
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

/// Initialises logging to standard output through a queue and a writer thread.
///
/// `default_filter` applies if `RUST_LOG` is not set.
///
/// # Errors
///
/// Fails if the writer thread cannot be started or a logger is already installed.
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

/// Blocks until every queued line is written or a timeout of 300 ms expires.
///
/// To be called at the end of the process, so that the last lines are not lost, by a thread that
/// has nothing else to do.
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
        // A failure to write to standard output cannot be reported anywhere.
        let _write_failed = stdout.write_all(&batch).and_then(|()| stdout.flush());
        batch.clear();
        UNWRITTEN_LINES.fetch_sub(line_count, Ordering::Relaxed);
    }
}
