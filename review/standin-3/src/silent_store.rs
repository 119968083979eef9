//! All open connections to the store go silent, while an endpoint begins to drain.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::endpoint::{entry, loopback, short};
use crate::requester::{self, FlowPlan, Seen};
use crate::rig::{Outcome, ROUTE, Rig, Run, SERVICE, ZONES};
use crate::wire::FlowKey;

const FLOWS_PER_S: u32 = 100;
const TRAFFIC_FOR: Duration = Duration::from_secs(84);
const ROUNDS: u64 = 7;
/// Endpoints at a time. One of them is replaced in each round, as `release` does it: the new one
/// starts first, the old one drains and leaves.
const ENDPOINTS: u8 = 3;
/// `coldStartS` of the manifest.
const COLD_FOR: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_millis(3_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);

pub fn play(run: &Run) -> Outcome {
    let mut rig = Rig::start_with(run, &[ENDPOINTS, 0, 0], &[1, 0, 0])?;
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
    let began = Instant::now();
    // The endpoint that drains, when this was confirmed, and when connections went silent.
    let mut drains: Vec<(usize, Instant, Instant, Instant)> = Vec::new();
    for round in 0..ROUNDS {
        let drained = round as usize;
        std::thread::sleep(Duration::from_secs(1));
        // Planned work: the endpoint that is to replace another one starts.
        rig.start_endpoint(1, ZONES[0], ENDPOINTS + round as u8, COLD_FOR)?;
        rig.record.line(&format!("{} has started", rig.endpoints.last().unwrap().settings.id));
        // Planned work: two manifests in succession add routes. The host writes to the store after
        // each, the second time beside its watch, so that it has a second connection.
        for change in 0..2 {
            let written = rig.store.writes.load(Ordering::Relaxed);
            rig.write_manifest(10 + 2 * round + change, 1 + 2 * round + change);
            let deadline = Instant::now() + Duration::from_millis(1_500);
            while rig.store.writes.load(Ordering::Relaxed) == written && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(10));
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        // The connections go silent just after a watch that followed one without any event.
        let deadline = Instant::now() + Duration::from_secs(5);
        let mut watch = *rig.store.watch_began.lock().unwrap();
        while Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(2));
            let began = *rig.store.watch_began.lock().unwrap();
            if began != watch
                && began.zip(watch).is_some_and(|(a, b)| a - b > Duration::from_millis(1_700))
            {
                break;
            }
            watch = began;
        }
        std::thread::sleep(Duration::from_millis(10));
        if run.trouble {
            rig.store.silence_connections();
        }
        let silent_at = Instant::now();
        rig.record.line(&format!("round {round}: connections go silent: {}", run.trouble));
        std::thread::sleep(Duration::from_millis(200));
        let put = |state: &str| {
            let settings = &rig.endpoints[drained].settings;
            let (address, zone) = (settings.address, &settings.zone);
            let text = entry(SERVICE, address, zone, state, rig.born_at[drained], 100, 0);
            let revision = rig.store.put(&format!("servers/{}", settings.id), text.as_bytes());
            rig.record.line(&format!("{} is {state}, revision {revision}", settings.id));
        };
        put("draining");
        let drained_at = Instant::now();
        std::thread::sleep(Duration::from_millis(5_300));
        drains.push((drained, drained_at, silent_at, Instant::now()));
        // It leaves.
        let leaving = &rig.endpoints[drained];
        rig.store.remove(&format!("servers/{}", leaving.settings.id));
        leaving.control.down.store(true, Ordering::Relaxed);
        rig.record.line(&format!("{} has left", leaving.settings.id));
    }
    std::thread::sleep((TRAFFIC_FOR + Duration::from_secs(3)).saturating_sub(began.elapsed()));

    let mut asked: HashMap<FlowKey, Instant> = HashMap::new();
    let mut answers = 0;
    for event in seen.try_iter() {
        match event {
            Seen::Asked { key, at } => drop(asked.insert(key, at)),
            Seen::Answer { .. } => answers += 1,
            _ => {}
        }
    }
    let mut broken = 0;
    for (round, (drained, drained_at, silent_at, until)) in drains.iter().enumerate() {
        let held = rig.endpoints[*drained].held.lock().unwrap();
        let mut last: Option<(FlowKey, Duration, Duration)> = None;
        let mut late = 0;
        for (key, taken_at, _) in &held.taken {
            let Some(sent_at) = asked.get(key) else { continue };
            let is_in_touch = *sent_at >= *silent_at + STABILITY_WINDOW;
            if is_in_touch && *taken_at > *drained_at + DRAIN && *taken_at < *until {
                late += 1;
                last = Some((*key, *taken_at - *drained_at, *taken_at - *silent_at));
            }
        }
        let last = last.map_or_else(String::new, |(key, drained_for, silent_for)| {
            let (drained_for, silent_for) = (drained_for.as_secs_f64(), silent_for.as_secs_f64());
            format!(
                ", the last one, {}, {drained_for:.2} s after the drain was confirmed and \
                 {silent_for:.2} s after the silence",
                short(key)
            )
        });
        rig.record.say(&format!("round {round}: {late} openings reached it late{last}"));
        broken += late;
    }
    rig.record.say(&format!("answers {answers}, DRAIN broken {broken} times"));
    match answers {
        0 => Err("nothing was answered".into()),
        _ => Ok(broken > 0),
    }
}
