//! Rule CONFIG: a manifest gives the route another service. An opening that an endpoint of the old
//! service has not answered leads later openings there: its own copy, and those from the same port.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::CaseResult;
use crate::requester::Outcome;
use crate::setup::{
    CONFIG_APPLY_MS, Deployment, EndpointSpec, REVERT_SLACK_MS, ROUTE, STABILITY_WINDOW_MS,
    manifest,
};

const TIME_BUDGET: Duration = Duration::from_millis(2_500);

/// Flows that the endpoint of `desk` holds, as many as it can.
const LONG_FLOWS: u16 = 4;
const LONG_PORT: u16 = 42_000;

/// Pause between the requests of a long flow.
const LONG_PAUSE: Duration = Duration::from_millis(30);

/// Ports that are used twice.
const PORTS: [u16; 4] = [42_010, 42_011, 42_012, 42_013];

/// Ports that are used once, after the change.
const FRESH_PORTS: [u16; 4] = [42_020, 42_021, 42_022, 42_023];

/// Port of the opening whose last copy is judged.
const COPY_PORT: u16 = 42_030;

/// Ports of the flows that show the effect of the version.
const EFFECT_PORTS: std::ops::Range<u16> = 42_040..42_046;

/// Time from that opening to the change of the manifest: after its first copy.
const CHANGE_AFTER: Duration = Duration::from_millis(225);

/// Time between the bound and the openings that are judged.
const MARGIN_MS: f64 = 500.0;

pub fn run(record_path: &Path, has_trouble: bool) -> CaseResult {
    let work = Duration::from_millis(55);
    let endpoints = [
        EndpointSpec("desk", "z-1", usize::from(LONG_FLOWS), work),
        EndpointSpec("archive", "z-1", 4_500, work),
    ];
    let deployment =
        Deployment::start(record_path, &["z-1", "z-1"], &endpoints, Box::new(|_, _| false))?;
    deployment.wait_ready()?;
    std::thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS as u64));
    let record = deployment.world.record.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let long_flows = start_long_flows(&deployment, &stop)?;
    // The endpoint is full and sends nothing; the attempts end after 1.4 s.
    let attempts: Vec<_> = PORTS
        .iter()
        .map(|port| {
            let (requester, port) = (deployment.requester.clone(), *port);
            std::thread::spawn(move || requester.open(port, ROUTE).err())
        })
        .collect();
    for attempt in attempts {
        let outcome = attempt.join().map_err(|_| "a thread has failed")?;
        record.line(&format!("first opening: {outcome:?}"));
    }
    let copied = {
        let requester = deployment.requester.clone();
        std::thread::spawn(move || match requester.open(COPY_PORT, ROUTE) {
            Ok(mut flow) => {
                flow.request("copied", TIME_BUDGET);
                flow.close();
            }
            Err(outcome) => println!("opening with copies: {outcome:?}"),
        })
    };
    std::thread::sleep(CHANGE_AFTER);
    let mut allowed = "desk";
    if has_trouble {
        allowed = "archive";
        let revision = deployment.store.put("op/config", manifest(7, "archive").as_bytes());
        record.line(&format!("CONFIRMED manifest version 7, route to archive, revision {revision}"));
    }
    let confirmed_at = record.ms();
    // The requests of the long flows end; the endpoint has room again.
    stop.store(true, Ordering::Relaxed);
    let mut effect_at = f64::MAX;
    for port in EFFECT_PORTS {
        let is_same_host = deployment.requester.host_of(port, ROUTE)
            == deployment.requester.host_of(COPY_PORT, ROUTE);
        if is_same_host
            && let Ok(flow) = deployment.requester.open(port, ROUTE)
        {
            std::thread::sleep(Duration::from_millis(5));
            let seen = deployment.world.seen.lock().unwrap();
            let holder = seen.holders.get(&flow.key).cloned();
            if let Some((endpoint, at)) = holder.filter(|(id, _)| seen.services[id] == "archive") {
                record.line(&format!("endpoint {endpoint} has seen the effect of the version"));
                effect_at = effect_at.min(at);
            }
            drop(seen);
            flow.close();
        }
    }
    for flow in long_flows {
        let _ = flow.join();
    }
    let _ = copied.join();
    let mut broken = 0;
    let seen = deployment.world.seen.lock().unwrap();
    let key = deployment.requester.key(COPY_PORT, ROUTE);
    if let (Some((holder, _)), Some(sent_at)) =
        (seen.holders.get(&key), deployment.requester.last_opening(COPY_PORT))
        && sent_at > effect_at + REVERT_SLACK_MS
        && seen.services[holder] != allowed
    {
        broken += 1;
        record.line(&format!(
            "RULE CONFIG BROKEN (regress): the opening packet that {holder} took was sent {:.0} ms \
             after an endpoint had seen the effect of version 7 through the same host",
            sent_at - effect_at
        ));
    }
    drop(seen);
    let waited = record.ms() - confirmed_at;
    std::thread::sleep(Duration::from_secs_f64(
        (CONFIG_APPLY_MS + MARGIN_MS - waited).max(0.0) / 1_000.0,
    ));
    for port in PORTS.into_iter().chain(FRESH_PORTS) {
        let sent_at = record.ms();
        let id = format!("second-{port}");
        match deployment.requester.open(port, ROUTE) {
            Ok(mut flow) => {
                let outcome = flow.request(&id, TIME_BUDGET);
                flow.close();
                record.line(&format!("{id}: {outcome:?}"));
            }
            Err(outcome) => record.line(&format!("{id}: opening {outcome:?}")),
        }
        let seen = deployment.world.seen.lock().unwrap();
        for endpoint in seen.runs.get(&id).into_iter().flatten() {
            let service = &seen.services[endpoint];
            if service != allowed && sent_at - confirmed_at > CONFIG_APPLY_MS {
                broken += 1;
                record.line(&format!(
                    "RULE CONFIG BROKEN (late): {id}, sent {:.0} ms after the confirmation, was run \
                     by {endpoint} of {service}",
                    sent_at - confirmed_at
                ));
            }
        }
    }
    let total = PORTS.len() + FRESH_PORTS.len() + 1;
    let summary = format!("{broken} of {total} requests run by the old service");
    record.line(&summary);
    println!("{summary}");
    Ok(broken == 0)
}

/// Opens the flows that hold the endpoint; each sends requests until `stop`.
fn start_long_flows(
    deployment: &Deployment,
    stop: &Arc<AtomicBool>,
) -> Result<Vec<JoinHandle<()>>, Box<dyn std::error::Error>> {
    let requester = &deployment.requester;
    let copy_host = requester.host_of(COPY_PORT, ROUTE);
    // Half of them pass the host of the opening that is judged.
    let mut ports: Vec<u16> = (LONG_PORT..).take(10).collect();
    ports.sort_by_key(|port| requester.host_of(*port, ROUTE) != copy_host);
    let same = ports.iter().take(2);
    let other = ports.iter().rev().take(usize::from(LONG_FLOWS) - 2);
    let mut flows = Vec::new();
    for port in same.chain(other) {
        let mut flow = requester.open(*port, ROUTE).map_err(|outcome| format!("{outcome:?}"))?;
        if !matches!(flow.request(&format!("long-{port}"), TIME_BUDGET), Outcome::Success(_)) {
            return Err("a flow that is to hold the endpoint has failed".into());
        }
        let stop = Arc::clone(stop);
        flows.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                flow.pause(LONG_PAUSE);
                number += 1;
                flow.request(&format!("long-{}-{number}", flow.key.0.port()), TIME_BUDGET);
            }
            flow.close();
        }));
    }
    Ok(flows)
}
