//! The queue between the threads that log and the one that writes.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that wait to be written; more are left out and counted.
const QUEUE_LINES: usize = 1_024;

/// Time in which lines gather before they are written in one go.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Longest wait for the last lines when the process ends.
const FINISH_TIME: Duration = Duration::from_millis(300);

/// Time between two looks at what is left to write.
const FINISH_POLL: Duration = Duration::from_millis(10);

/// Lines that found the queue full.
static OVERFLOW: AtomicU64 = AtomicU64::new(0);

/// Lines that are queued and not written yet.
static UNWRITTEN: AtomicU64 = AtomicU64::new(0);

/// `LineQueue` takes formatted lines without ever waiting.
struct LineQueue(SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        UNWRITTEN.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            UNWRITTEN.fetch_sub(1, Ordering::Relaxed);
            OVERFLOW.fetch_add(1, Ordering::Relaxed);
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
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&receiver))?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(default_filter))
        .target(env_logger::Target::Pipe(Box::new(LineQueue(sender))))
        .format_timestamp_millis()
        .write_style(env_logger::WriteStyle::Never)
        .try_init()
        .map_err(std::io::Error::other)
}

/// Waits until every queued line is written, for a short time at most; to be called at the end of the
/// process, by a thread that has nothing else to do.
pub fn finish_logging() {
    let mut waited = Duration::ZERO;
    while UNWRITTEN.load(Ordering::Relaxed) > 0 && waited < FINISH_TIME {
        std::thread::sleep(FINISH_POLL);
        waited += FINISH_POLL;
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    let mut text = Vec::new();
    while let Ok(line) = lines.recv() {
        let mut count = 1;
        text.extend_from_slice(&line);
        std::thread::sleep(GATHER_TIME);
        while let Ok(line) = lines.try_recv() {
            count += 1;
            text.extend_from_slice(&line);
        }
        let omitted = OVERFLOW.swap(0, Ordering::Relaxed);
        if omitted > 0 {
            text.extend_from_slice(format!("log queue was full omitted={omitted}\n").as_bytes());
        }
        // Nobody is left to tell if standard output is gone.
        let _closed = output.write_all(&text).and_then(|()| output.flush());
        text.clear();
        UNWRITTEN.fetch_sub(count, Ordering::Relaxed);
    }
}
