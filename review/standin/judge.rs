//! The checks, as the rules are written, on what endpoints and requesters have seen.

use std::collections::HashMap;

use crate::client::{Clients, Seen};
use crate::endpoint::{Observation, Observations};

/// Flows that are older than this do not count.
const FLOW_TTL_MS: u64 = 60_000;

/// Returns when openings that were sent at `in_touch_ms` or later reached the endpoint after
/// `late_ms`.
pub fn late_openings(
    observations: &Observations,
    clients: &Clients,
    id: &str,
    late_ms: u64,
    in_touch_ms: u64,
) -> Vec<u64> {
    let seen = clients.seen.lock().unwrap();
    let sent_in_touch = |port: u16| {
        seen.iter().any(|event| {
            matches!(event, Seen::Opening { at_ms, port: sent } if *sent == port
                && *at_ms >= in_touch_ms)
        })
    };
    let observations = observations.lock().unwrap();
    let late = observations.iter().filter_map(|observation| match observation {
        Observation::Opening { at_ms, endpoint, port }
            if endpoint == id && *at_ms > late_ms && sent_in_touch(*port) =>
        {
            Some(*at_ms)
        }
        _ => None,
    });
    late.collect()
}

/// Returns the resets of the system's own on flows that were open at an endpoint.
pub fn broken_flows(
    observations: &Observations,
    clients: &Clients,
    in_touch_ms: u64,
) -> Vec<(u64, u16, String)> {
    let observations = observations.lock().unwrap();
    let mut open: HashMap<u16, (u64, &str)> = HashMap::new();
    let mut ended: HashMap<u16, u64> = HashMap::new();
    for observation in observations.iter() {
        match observation {
            Observation::Open { at_ms, endpoint, port } => {
                open.insert(*port, (*at_ms, endpoint));
            }
            Observation::Ended { at_ms, port } => {
                ended.entry(*port).or_insert(*at_ms);
            }
            _ => {}
        }
    }
    let seen = clients.seen.lock().unwrap();
    let resets = seen.iter().filter_map(|event| match event {
        Seen::SystemReset { at_ms, port, was_open: true } => {
            let (opened_ms, endpoint) = open.get(port)?;
            let ended_before = ended.get(port).is_some_and(|ended_ms| ended_ms < at_ms);
            let counts = *at_ms >= in_touch_ms && at_ms - opened_ms.min(at_ms) <= FLOW_TTL_MS;
            (opened_ms < at_ms && !ended_before && counts)
                .then(|| (*at_ms, *port, (*endpoint).to_owned()))
        }
        _ => None,
    });
    resets.collect()
}
