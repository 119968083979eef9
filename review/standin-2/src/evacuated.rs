//! Rule EVAC: a zone is evacuated; a requester uses a port again from which an earlier opening was
//! not answered.

use std::path::Path;
use std::time::Duration;

use crate::CaseResult;
use crate::requester::Outcome;
use crate::setup::{Deployment, EVACUATE_MS, EndpointSpec, ROUTE, STABILITY_WINDOW_MS};

const TIME_BUDGET: Duration = Duration::from_millis(2_500);

/// Ports of the flows that the endpoint holds, as many as it can.
const LONG_PORTS: [u16; 2] = [43_000, 43_001];

/// Ports that are used twice.
const PORTS: [u16; 4] = [43_010, 43_011, 43_012, 43_013];

/// Ports that are used once, after the evacuation.
const FRESH_PORTS: [u16; 4] = [43_020, 43_021, 43_022, 43_023];

/// Time between the bound and the openings that are judged.
const MARGIN_MS: f64 = 500.0;

pub fn run(record_path: &Path, has_trouble: bool) -> CaseResult {
    let work = Duration::from_millis(55);
    // The service of the route lives in one zone; requesters reach it through hosts of the other.
    let endpoints = [EndpointSpec("desk", "z-2", LONG_PORTS.len(), work)];
    let deployment =
        Deployment::start(record_path, &["z-1", "z-1", "z-2"], &endpoints, Box::new(|_, _| false))?;
    deployment.wait_ready()?;
    std::thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS as u64));
    let record = deployment.world.record.clone();
    let mut long_flows = Vec::new();
    for port in LONG_PORTS {
        let mut flow =
            deployment.requester.open(port, ROUTE).map_err(|outcome| format!("{outcome:?}"))?;
        if !matches!(flow.request(&format!("long-{port}"), TIME_BUDGET), Outcome::Success(_)) {
            return Err("a flow that is to hold the endpoint has failed".into());
        }
        long_flows.push(flow);
    }
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
    // The requests of the long flows are over; the endpoint has room again.
    for mut flow in long_flows {
        flow.request(&format!("last-{}", flow.key.0.port()), TIME_BUDGET);
        flow.close();
    }
    if has_trouble {
        let revision = deployment.store.put("op/evacuate/z-2", b"{}");
        record.line(&format!("CONFIRMED evacuation of z-2, revision {revision}"));
    }
    let confirmed_at = record.ms();
    std::thread::sleep(Duration::from_secs_f64((EVACUATE_MS + MARGIN_MS) / 1_000.0));
    let mut broken = 0;
    for port in FRESH_PORTS.into_iter().chain(PORTS) {
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
            if has_trouble && sent_at - confirmed_at > EVACUATE_MS {
                broken += 1;
                record.line(&format!(
                    "RULE EVAC BROKEN: {id}, sent {:.0} ms after the confirmation, was run by \
                     {endpoint} in z-2",
                    sent_at - confirmed_at
                ));
            }
        }
    }
    let total = PORTS.len() + FRESH_PORTS.len();
    let summary = format!("{broken} of {total} requests reached the evacuated zone");
    record.line(&summary);
    println!("{summary}");
    Ok(broken == 0)
}
