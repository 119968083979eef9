//! The zone of a service is evacuated while its endpoints are cut off.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::endpoint::{loopback, short};
use crate::requester::{self, FlowPlan, Seen};
use crate::rig::{Outcome, ROUTE, Rig, Run, SERVICE, ZONES};
use crate::wire::FlowKey;

/// Flows a second, and ports that the requester uses in turn, so each of them again after 10 s.
const FLOWS_PER_S: u32 = 20;
const PORTS: u32 = 200;
const TRAFFIC_FOR: Duration = Duration::from_secs(24);
const CALM_FOR: Duration = Duration::from_secs(5);
/// Longest time of `node_cut` in the list of troubles of the site file of munadhara-edge.
const CUT_FOR: Duration = Duration::from_millis(5_500);
const STABILITY_WINDOW: Duration = Duration::from_secs(4);
const EVACUATE: Duration = Duration::from_millis(5_000);

pub fn play(run: &Run) -> Outcome {
    // The service of the route has its endpoints in the first zone only; another one has endpoints
    // in all zones.
    let mut rig = Rig::start_with(run, &[3, 0, 0], &[3, 2, 2])?;
    rig.start_successor()?;
    std::thread::sleep(Duration::from_secs(1));
    let count = FLOWS_PER_S * TRAFFIC_FOR.as_secs() as u32;
    let plans = (0..count).map(|number| FlowPlan {
        port: 1_024 + (number % PORTS) as u16,
        route: ROUTE.0,
        route_port: ROUTE.1,
        open_at: Duration::from_millis(200) + Duration::from_secs(1) * number / FLOWS_PER_S,
        requests: vec![Duration::ZERO],
        budget: Duration::from_millis(3_000),
        closes: true,
    });
    let seen = requester::start(
        loopback(rig.network, 2, 200),
        rig.ports.packet,
        ZONES[1],
        rig.hosts.clone(),
        plans.collect(),
        rig.links.clone(),
        rig.record.clone(),
        rig.stop.clone(),
    )?;
    let began = Instant::now();
    std::thread::sleep(CALM_FOR);
    let cut = |is_cut: bool| {
        for endpoint in rig.endpoints.iter().filter(|e| e.settings.service == SERVICE) {
            endpoint.control.cut.store(is_cut, Ordering::Relaxed);
        }
        rig.record.line(&format!("endpoints of {SERVICE} cut off from the hosts: {is_cut}"));
    };
    cut(run.trouble);
    std::thread::sleep(Duration::from_millis(2_000));
    // Planned work: the operator takes the zone out.
    let revision = rig.store.put(&format!("op/evacuate/{}", ZONES[0]), b"{}");
    let evacuated_at = Instant::now();
    rig.record.line(&format!("evacuation of {} confirmed, revision {revision}", ZONES[0]));
    std::thread::sleep(CUT_FOR - Duration::from_millis(2_000));
    cut(false);
    let healed_at = Instant::now();
    std::thread::sleep((TRAFFIC_FOR + Duration::from_secs(3)).saturating_sub(began.elapsed()));

    let mut asked: HashMap<FlowKey, Vec<Instant>> = HashMap::new();
    let (mut answers, mut not_opened, mut failed) = (0, 0, 0);
    for event in seen.try_iter() {
        match event {
            Seen::Asked { key, at } => asked.entry(key).or_default().push(at),
            Seen::Answer { .. } => answers += 1,
            Seen::NotOpened { .. } => not_opened += 1,
            Seen::GaveUp { .. } | Seen::Reset { .. } => failed += 1,
            Seen::Opened { .. } | Seen::NotGenuine { .. } => {}
        }
    }
    let mut broken = 0;
    for endpoint in rig.endpoints.iter().filter(|e| e.settings.zone == ZONES[0]) {
        for (key, taken_at, _) in &endpoint.held.lock().unwrap().taken {
            let sent_at = asked.get(key).into_iter().flatten().filter(|at| *at <= taken_at).max();
            let Some(sent_at) = sent_at else { continue };
            let is_calm = sent_at.saturating_duration_since(healed_at) > STABILITY_WINDOW;
            let after = taken_at.saturating_duration_since(evacuated_at);
            if after <= EVACUATE || !is_calm {
                continue;
            }
            broken += 1;
            if broken <= 10 {
                rig.record.say(&format!(
                    "flow {} was taken by {} in {} {:.1} s after the evacuation was confirmed",
                    short(*key),
                    endpoint.settings.id,
                    ZONES[0],
                    after.as_secs_f64()
                ));
            }
        }
    }
    rig.record.say(&format!(
        "answers {answers}, not opened {not_opened}, failed {failed}, EVAC broken {broken} times"
    ));
    match answers {
        0 => Err("nothing was answered".into()),
        _ => Ok(broken > 0),
    }
}
