//! Endpoints of a zone come back cold, under their ids, while the platform's store is down.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::endpoint::{entry, loopback};
use crate::requester::{self, FlowPlan, Seen};
use crate::rig::{COLD_PER_S, Outcome, ROUTE, Rig, Run, SERVICE, ZONES};
use crate::wire::FlowKey;

/// Flows a second that the requesters of the zone open.
const FLOWS_PER_S: u32 = 60;
const TRAFFIC_FOR: Duration = Duration::from_secs(16);
/// Time before the disruption, from the start of traffic.
const CALM_FOR: Duration = Duration::from_secs(5);
/// Longest time of `platform_down` in the site file of munadhara-edge.
const STORE_DOWN_FOR: Duration = Duration::from_millis(4_500);
/// Time for which the endpoints are down; `cold_return` has 4.5 s in the site file.
const ENDPOINTS_DOWN_FOR: Duration = Duration::from_millis(1_500);
/// `coldStartS` of the manifest.
const COLD_FOR: Duration = Duration::from_secs(2);
/// Bounds of the site.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

pub fn play(run: &Run) -> Outcome {
    let rig = Rig::start(run, 4, &[4, 2, 2])?;
    let count = FLOWS_PER_S * TRAFFIC_FOR.as_secs() as u32;
    let plans = (0..count).map(|number| FlowPlan {
        port: 1_024 + number as u16,
        route: ROUTE.0,
        route_port: ROUTE.1,
        open_at: Duration::from_millis(200) + Duration::from_secs(1) * number / FLOWS_PER_S,
        requests: vec![Duration::ZERO],
        budget: Duration::from_millis(3_000),
        closes: true,
    });
    let seen = requester::start(
        loopback(rig.network, 1, 200),
        rig.ports.packet,
        ZONES[0],
        rig.hosts.clone(),
        plans.collect(),
        rig.links.clone(),
        rig.record.clone(),
        rig.stop.clone(),
    )?;
    std::thread::sleep(CALM_FOR);
    let of_zone = || rig.endpoints.iter().filter(|endpoint| endpoint.settings.zone == ZONES[0]);
    let began = Instant::now();
    rig.store.down.store(run.trouble, Ordering::Relaxed);
    rig.record.line(&format!("store down: {}", run.trouble));
    std::thread::sleep(Duration::from_millis(500));
    for endpoint in of_zone() {
        endpoint.control.down.store(true, Ordering::Relaxed);
    }
    rig.record.line(&format!("endpoints of {} crash", ZONES[0]));
    std::thread::sleep(ENDPOINTS_DOWN_FOR);
    let back_at = Instant::now();
    for endpoint in of_zone() {
        *endpoint.control.cold_until.lock().unwrap() = Some(back_at + COLD_FOR);
        *endpoint.control.bears.lock().unwrap() = Some(COLD_PER_S * COLD_OVER + COLD_SLACK);
        endpoint.control.down.store(false, Ordering::Relaxed);
    }
    rig.record.line(&format!("endpoints of {} are back under their ids, cold", ZONES[0]));
    // Each registers as soon as the store takes its entry.
    if run.trouble {
        std::thread::sleep(STORE_DOWN_FOR.saturating_sub(began.elapsed()));
        rig.store.down.store(false, Ordering::Relaxed);
        rig.record.line("store answers again");
    }
    let born = rig.born + 60_000;
    for endpoint in of_zone() {
        let settings = &endpoint.settings;
        let cold_left = (back_at + COLD_FOR).saturating_duration_since(Instant::now());
        let cold_left_ms = cold_left.as_millis() as u64;
        let (address, zone) = (settings.address, &settings.zone);
        let text = entry(SERVICE, address, zone, "ready", born, 2, cold_left_ms);
        rig.store.put(&format!("servers/{}", settings.id), text.as_bytes());
        rig.record.line(&format!("entry of {} confirmed, coldLeftMs {cold_left_ms}", settings.id));
    }
    std::thread::sleep(TRAFFIC_FOR.saturating_sub(CALM_FOR + began.elapsed()));
    std::thread::sleep(Duration::from_secs(2));
    let mut asked: HashMap<FlowKey, Instant> = HashMap::new();
    let mut answered: HashSet<FlowKey> = HashSet::new();
    let (mut answers, mut failed) = (0, 0);
    for event in seen.try_iter() {
        match event {
            Seen::Asked { key, at } => drop(asked.insert(key, at)),
            Seen::Answer { key, .. } => {
                answers += 1;
                answered.insert(key);
            }
            Seen::NotOpened { .. } | Seen::GaveUp { .. } | Seen::Reset { .. } => failed += 1,
            Seen::Opened { .. } | Seen::NotGenuine { .. } => {}
        }
    }
    let limit = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let (mut broken, mut lost) = (0, 0);
    for endpoint in of_zone() {
        let held = endpoint.held.lock().unwrap();
        let mut taken: Vec<(Instant, Instant)> = held
            .taken
            .iter()
            .filter(|(_, _, is_cold)| *is_cold)
            .filter_map(|(key, at, _)| Some((*asked.get(key)?, *at)))
            .collect();
        taken.sort_unstable();
        let in_second = |from: Instant| {
            let until = from + Duration::from_secs(1);
            taken.iter().filter(|(sent, arrived)| *sent >= from && *arrived < until).count()
        };
        // Requests that it had begun to run and that nobody answered.
        let unanswered = |(key, _): &&(FlowKey, Vec<u8>)| !answered.contains(key);
        lost += held.runs.keys().filter(unanswered).count();
        let most = taken.iter().map(|(sent, _)| in_second(*sent)).max().unwrap_or(0);
        broken += u32::from(most as f64 > limit);
        rig.record.say(&format!(
            "endpoint {} took {} openings while cold, {most} in one second; {limit} are the most; \
             fell over {} times",
            endpoint.settings.id,
            taken.len(),
            held.falls.len()
        ));
    }
    rig.record.say(&format!(
        "asked {}, answers {answers}, failed {failed}, requests run and never answered {lost}, \
         FAILBACK broken at {broken} endpoints",
        asked.len()
    ));
    match answers {
        0 => Err("nothing was answered".into()),
        _ => Ok(broken > 0),
    }
}
