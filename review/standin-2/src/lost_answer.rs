//! Rule FLOW: datagrams are lost, answers of an endpoint to openings.

use std::collections::HashSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::CaseResult;
use crate::packet::SYN;
use crate::requester::Outcome;
use crate::setup::{Deployment, EndpointSpec, ROUTE, STABILITY_WINDOW_MS};

const FLOWS: u16 = 12;
const OPENING_INTERVAL: Duration = Duration::from_millis(1_000);

/// Flows whose first SYN+ACK is lost: 2 datagrams of the run's several hundred.
const LOSES: [u16; 2] = [4, 5];

const PAUSE: Duration = Duration::from_millis(5_500);
const REQUESTS: usize = 3;
const TIME_BUDGET: Duration = Duration::from_millis(2_500);
const FIRST_PORT: u16 = 41_000;

pub fn run(record_path: &Path, has_trouble: bool) -> CaseResult {
    let lost: Mutex<HashSet<u16>> = Mutex::default();
    let loss = move |_: &str, packet: &crate::packet::Packet| {
        let number = packet.dst.port().wrapping_sub(FIRST_PORT);
        has_trouble
            && packet.has(SYN)
            && LOSES.contains(&number)
            && lost.lock().unwrap().insert(number)
    };
    let work = Duration::from_millis(55);
    let endpoints =
        [EndpointSpec("desk", "z-1", 4_333, work), EndpointSpec("desk", "z-2", 4_333, work)];
    let deployment =
        Deployment::start(record_path, &["z-1", "z-1", "z-2"], &endpoints, Box::new(loss))?;
    deployment.wait_ready()?;
    // Hosts count as in touch once they have run for the stability window.
    std::thread::sleep(Duration::from_millis(STABILITY_WINDOW_MS as u64));
    let broken = Arc::new(Mutex::new(0));
    let failed = Arc::new(Mutex::new(0));
    let mut threads = Vec::new();
    for number in 0..FLOWS {
        let (requester, world) =
            (Arc::clone(&deployment.requester), Arc::clone(&deployment.world));
        let (broken, failed) = (Arc::clone(&broken), Arc::clone(&failed));
        threads.push(std::thread::spawn(move || {
            let Ok(mut flow) = requester.open(FIRST_PORT + number, ROUTE) else {
                *failed.lock().unwrap() += 1;
                return;
            };
            for request in 0..REQUESTS {
                let outcome = flow.request(&format!("f{number}-{request}"), TIME_BUDGET);
                let Outcome::Success(_) = outcome else {
                    flow.log(&format!("request failed: {outcome:?}"));
                    *failed.lock().unwrap() += 1;
                    break;
                };
                if request + 1 < REQUESTS {
                    flow.pause(PAUSE);
                }
            }
            let now = world.record.ms();
            if flow.reset.is_none() {
                return flow.close();
            }
            let seen = world.seen.lock().unwrap();
            let Some((holder, since)) = seen.holders.get(&flow.key) else { return };
            let resets = seen.resets.get(&flow.key).cloned().unwrap_or_default();
            let by_holder = resets.iter().any(|(endpoint, _)| endpoint == holder);
            let calm = now - seen.losses.get(holder).copied().unwrap_or(f64::MIN);
            flow.log(&format!(
                "was open at {holder} for {:.0} ms, reset by {resets:?}; last loss on the holder's \
                 links {calm:.0} ms ago",
                now - since
            ));
            if !by_holder && calm > STABILITY_WINDOW_MS {
                flow.log("RULE FLOW BROKEN: reset that the flow's endpoint did not send");
                *broken.lock().unwrap() += 1;
            }
        }));
        std::thread::sleep(OPENING_INTERVAL);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let (broken, failed) = (*broken.lock().unwrap(), *failed.lock().unwrap());
    let summary = format!("{FLOWS} flows, {failed} with a failed request, {broken} broken");
    deployment.world.record.line(&summary);
    println!("{summary}");
    Ok(broken == 0)
}
