//! Rule Fault: a settings file changes while its process is starting.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::CaseResult;
use crate::requester::Outcome;
use crate::setup::{Deployment, EndpointSpec, ROUTE, STABILITY_WINDOW_MS};

/// Machines whose processes are stopped and started again, in turn.
const ROLLED: [usize; 2] = [0, 1];
const STARTS: usize = 3;

/// A core's share is a quota on some days: it runs at full speed until the quota is used up, and not
/// at all for the rest of the tenth of a second. 0.038 of a core are 3.8 ms.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
const QUOTA: Duration = Duration::from_micros(3_800);

/// What is left of the machine's quota when the process starts.
const QUOTA_LEFT: Duration = Duration::from_micros(300);

/// When the settings file changes, after the start of the process.
const CHANGE_AFTER: Duration = Duration::from_millis(50);

const RESTART_DELAY: Duration = Duration::from_millis(500);

const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

fn signal(process: u32, number: i32) {
    // SAFETY: the call has no memory effects; the process is a child of this one.
    unsafe { kill(process as i32, number) };
}

pub fn run(record_path: &Path, has_trouble: bool) -> CaseResult {
    let work = Duration::from_millis(55);
    let endpoints = [EndpointSpec("desk", "z-1", 4_333, work)];
    let deployment =
        Deployment::start(record_path, &["z-1", "z-1", "z-1"], &endpoints, Box::new(|_, _| false))?;
    deployment.wait_ready()?;
    std::thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS as u64));
    let record = deployment.world.record.clone();
    let fleet = &deployment.fleet;
    let mut own_ends = [0; ROLLED.len()];
    for (position, index) in ROLLED.into_iter().enumerate() {
        let process = fleet.children.lock().unwrap()[index].as_ref().map(|child| child.id());
        signal(process.ok_or("no process")?, SIGTERM);
        wait_for_end(&deployment, index, Duration::from_secs(8)).ok_or("no end after SIGTERM")?;
        record.line(&format!("host {index} stopped by SIGTERM"));
        let mut starts = 0;
        while starts < STARTS {
            starts += 1;
            std::thread::sleep(RESTART_DELAY);
            let settings = std::fs::read_to_string(fleet.settings_path(index))?;
            fleet.start_host(index)?;
            let started = Instant::now();
            let process = fleet.children.lock().unwrap()[index].as_ref().map(|child| child.id());
            let process = process.ok_or("no process")?;
            spin_until(started + QUOTA_LEFT);
            signal(process, SIGSTOP);
            record.line(&format!("host {index} started, start {starts}; its quota is used up"));
            sleep_until(started + CHANGE_AFTER);
            if has_trouble {
                std::fs::write(fleet.settings_path(index), settings)?;
                signal(process, SIGHUP);
                record.line(&format!("host {index}: settings file changed, SIGHUP"));
            }
            let mut slot = started + QUOTA_PERIOD;
            let mut end = None;
            for _ in 0..10 {
                sleep_until(slot);
                signal(process, SIGCONT);
                spin_until(Instant::now() + QUOTA);
                end = wait_for_end(&deployment, index, Duration::ZERO);
                if end.is_some() {
                    break;
                }
                signal(process, SIGSTOP);
                slot += QUOTA_PERIOD;
            }
            if end.is_none() {
                signal(process, SIGCONT);
                record.line(&format!("host {index} runs"));
                break;
            }
            own_ends[position] += 1;
            record.line(&format!("host {index} HAS ENDED BY ITSELF: {end:?}"));
        }
        if own_ends[position] == STARTS {
            std::thread::sleep(RESTART_DELAY);
            fleet.start_host(index)?;
        }
        if !fleet.wait_ready(Duration::from_secs(20)) {
            return Err("a host does not become ready".into());
        }
    }
    for number in 0..10_u16 {
        let outcome = match deployment.requester.open(45_000 + number, ROUTE) {
            Ok(mut flow) => flow.request(&format!("r{number}"), Duration::from_millis(2_500)),
            Err(outcome) => outcome,
        };
        record.line(&format!("r{number}: {outcome:?}"));
        if !matches!(outcome, Outcome::Success(_)) {
            record.line("a request has failed");
        }
    }
    let machines = own_ends.iter().filter(|ends| **ends >= 3).count();
    let summary = format!("own ends {own_ends:?}: {machines} of 3 machines with three");
    record.line(&summary);
    println!("{summary}");
    Ok(machines < 2)
}

/// Returns how the process of a host has ended, and forgets it.
fn wait_for_end(deployment: &Deployment, index: usize, limit: Duration) -> Option<String> {
    let end = Instant::now() + limit;
    loop {
        let mut children = deployment.fleet.children.lock().unwrap();
        let status = children[index].as_mut().and_then(|child| child.try_wait().ok().flatten());
        if let Some(status) = status {
            children[index] = None;
            return Some(status.to_string());
        }
        drop(children);
        if Instant::now() >= end {
            return None;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn spin_until(at: Instant) {
    while Instant::now() < at {
        std::hint::spin_loop();
    }
}
