//! The settings file changes while hosts are starting again, on machines with a processor quota.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::hosts::{Host, SIGCONT, SIGHUP, SIGSTOP, SIGTERM};
use crate::rig::{Outcome, Rig, Run};

/// Processor time in each tenth of a second, 0.038 of a core as on the site.
const QUOTA: Duration = Duration::from_micros(3_800);
const PERIOD: Duration = Duration::from_millis(100);
/// What is left of the quota when the process starts.
const LEFT_AT_START: Duration = Duration::from_micros(200);
/// Time from the start until the settings file changes.
const CHANGE_AFTER: Duration = Duration::from_millis(50);
const STARTS: usize = 3;

pub fn play(run: &Run) -> Outcome {
    let rig = Rig::start(run, 1, &[2, 2, 1])?;
    let mut machines_with_three = 0;
    for host in &rig.hosts[..2] {
        let mut own_ends = 0;
        for start in 0..STARTS {
            // Planned work: the host is stopped and started again.
            host.signal(SIGTERM);
            host.wait_ended(Duration::from_secs(6));
            std::thread::sleep(Duration::from_millis(1_200));
            host.start()?;
            // The process uses up what is left of its quota.
            wait(LEFT_AT_START);
            host.signal_quietly(SIGSTOP);
            let (ended, quota) = play_quota(host);
            std::thread::sleep(CHANGE_AFTER);
            // Planned work: the settings file changes.
            if run.trouble {
                host.signal(SIGHUP);
            }
            std::thread::sleep(Duration::from_millis(1_500));
            ended.store(true, Ordering::Relaxed);
            quota.join().map_err(|_| "the quota could not be played")?;
            let end = host.ended_by_itself();
            rig.record
                .say(&format!("{} start {start}: ended by itself: {end:?}", host.settings.name));
            own_ends += usize::from(end.is_some());
        }
        machines_with_three += usize::from(own_ends >= STARTS);
    }
    rig.record.say(&format!("{machines_with_three} of 5 machines with three ends of their own"));
    Ok(machines_with_three >= 2)
}

/// Stops and continues the process of a host, which stands still, so that it has its quota only.
fn play_quota(host: &Arc<Host>) -> (Arc<AtomicBool>, std::thread::JoinHandle<()>) {
    let ended = Arc::new(AtomicBool::new(false));
    let (host, is_ended) = (Arc::clone(host), Arc::clone(&ended));
    let quota = std::thread::spawn(move || {
        wait(PERIOD - QUOTA);
        while !is_ended.load(Ordering::Relaxed) {
            host.signal_quietly(SIGCONT);
            wait(QUOTA);
            host.signal_quietly(SIGSTOP);
            wait(PERIOD - QUOTA);
        }
        host.signal_quietly(SIGCONT);
    });
    (ended, quota)
}

/// Waits precisely; sleeps alone may last some tenths of a millisecond longer.
fn wait(time: Duration) {
    let until = Instant::now() + time;
    std::thread::sleep(time.saturating_sub(Duration::from_millis(1)));
    while Instant::now() < until {
        std::hint::spin_loop();
    }
}
