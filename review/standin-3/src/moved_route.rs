//! A route is moved to another service while the endpoints of its old one are cut off.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::endpoint::{loopback, short};
use crate::requester::{self, FlowPlan, Seen};
use crate::rig::{Outcome, ROUTE, Rig, Run, SERVICE, SUCCESSOR, ZONES};
use crate::wire::FlowKey;

/// Flows a second, and ports that the requester uses in turn, so each of them again after 10 s.
const FLOWS_PER_S: u32 = 20;
const PORTS: u32 = 200;
const TRAFFIC_FOR: Duration = Duration::from_secs(24);
const CALM_FOR: Duration = Duration::from_secs(5);
/// Longest time of `node_cut` in the list of troubles of the site file of munadhara-edge.
const CUT_FOR: Duration = Duration::from_millis(5_500);
const STABILITY_WINDOW: Duration = Duration::from_secs(4);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);

pub fn play(run: &Run) -> Outcome {
    let mut rig = Rig::start(run, 1, &[3, 2, 2])?;
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
    std::thread::sleep(CALM_FOR);
    let cut = |is_cut: bool| {
        for endpoint in rig.endpoints.iter().filter(|e| e.settings.service == SERVICE) {
            endpoint.control.cut.store(is_cut, Ordering::Relaxed);
        }
        rig.record.line(&format!("endpoints of {SERVICE} cut off from the hosts: {is_cut}"));
    };
    cut(run.trouble);
    std::thread::sleep(Duration::from_millis(2_000));
    // Planned work: the operator removes the route, and adds it again with the other service.
    rig.write_manifest(5, None);
    std::thread::sleep(Duration::from_millis(500));
    let confirmed_at = rig.write_manifest(7, Some(SUCCESSOR));
    std::thread::sleep(CUT_FOR - Duration::from_millis(2_500));
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
    for endpoint in rig.endpoints.iter().filter(|e| e.settings.service == SERVICE) {
        for (key, taken_at, _) in &endpoint.held.lock().unwrap().taken {
            // The attempt whose opening this is: the last one of the port before it was taken.
            let sent_at = asked.get(key).into_iter().flatten().filter(|at| *at <= taken_at).max();
            let Some(sent_at) = sent_at else { continue };
            let after = sent_at.saturating_duration_since(confirmed_at);
            let is_calm = sent_at.saturating_duration_since(healed_at) > STABILITY_WINDOW;
            if after <= CONFIG_APPLY || !is_calm {
                continue;
            }
            broken += 1;
            if broken <= 10 {
                rig.record.say(&format!(
                    "flow {} was sent {:.1} s after the manifest that leads it to {SUCCESSOR} was \
                     confirmed, and taken by {} of {SERVICE}",
                    short(*key),
                    after.as_secs_f64(),
                    endpoint.settings.id
                ));
            }
        }
    }
    rig.record.say(&format!(
        "answers {answers}, not opened {not_opened}, failed {failed}, CONFIG broken {broken} times"
    ));
    match answers {
        0 => Err("nothing was answered".into()),
        _ => Ok(broken > 0),
    }
}
