//! Rule Fault: entries of another writer, with a service that is not named, at the addresses of the
//! endpoints.

use std::path::Path;
use std::time::Duration;

use crate::CaseResult;
use crate::requester::Outcome;
use crate::setup::{Deployment, EndpointSpec, ROUTE, STABILITY_WINDOW_MS};
use crate::world::{random, unix_millis};

const REQUESTS: u16 = 40;
const INTERVAL: Duration = Duration::from_millis(250);
const TIME_BUDGET: Duration = Duration::from_millis(2_500);
const FIRST_PORT: u16 = 44_000;

pub fn run(record_path: &Path, has_trouble: bool) -> CaseResult {
    let work = Duration::from_millis(55);
    let endpoints =
        [EndpointSpec("desk", "z-1", 4_333, work), EndpointSpec("desk", "z-2", 4_333, work)];
    let deployment =
        Deployment::start(record_path, &["z-1", "z-1", "z-2"], &endpoints, Box::new(|_, _| false))?;
    deployment.wait_ready()?;
    let record = deployment.world.record.clone();
    if has_trouble {
        for endpoint in &deployment.endpoints {
            let key = format!("servers/x-{:010x}", random() >> 24);
            let entry = format!(
                "{{\"service\":\"inventory-agent\",\"address\":\"{}\",\"zone\":\"{}\",\
                 \"version\":\"2.3\",\"maxConcurrency\":1,\"state\":\"ready\",\"coldLeftMs\":0,\
                 \"seqNo\":1,\"born\":{}}}",
                endpoint.address,
                endpoint.zone,
                unix_millis()
            );
            let revision = deployment.store.put(&key, entry.as_bytes());
            record.line(&format!("OTHER WRITER wrote {key}, revision {revision}: {entry}"));
        }
    }
    std::thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS as u64));
    let (mut served, mut refused) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let outcome = match deployment.requester.open(FIRST_PORT + number, ROUTE) {
            Ok(mut flow) => {
                let outcome = flow.request(&id, TIME_BUDGET);
                flow.close();
                outcome
            }
            Err(outcome) => outcome,
        };
        record.line(&format!("{id}: {outcome:?}"));
        match outcome {
            Outcome::Success(_) => served += 1,
            _ => refused += 1,
        }
        std::thread::sleep(INTERVAL);
    }
    let summary = format!("{served} of {REQUESTS} requests served, {refused} not");
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        record.line("RULE Fault BROKEN: no request is served");
    }
    Ok(served > 0)
}
