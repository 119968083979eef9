//! Flows whose opening two endpoints have answered, and which move to other hosts during a pause.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use crate::endpoint::{loopback, short};
use crate::hosts::SIGTERM;
use crate::requester::{self, FlowPlan, Seen};
use crate::rig::{Outcome, ROUTE, Rig, Run, ZONES};
use crate::wire::FlowKey;

/// Longest time and largest share of `lossy` in the site file of munadhara-edge.
const LOSSY_FOR: Duration = Duration::from_millis(5_500);
const LOSES_ONE_IN: u64 = 40;
/// Pause between the two requests of a flow. Endpoints close flows that are idle for 12 s.
const PAUSE: Duration = Duration::from_millis(11_300);
/// Time from one stop to the next, as in the site file: of all hosts, and of up to 0.45 of them.
const RESTART_GAP: Duration = Duration::from_millis(2_000);
const REMOVE_GAP: Duration = Duration::from_millis(1_300);
const STABILITY_WINDOW: Duration = Duration::from_secs(4);

/// Planned work on the hosts of the requesters' zone, after the loss has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// They are stopped and started again in turn.
    Restart,
    /// They leave in turn for good, so that the routers use the hosts of the other zones.
    Remove,
}

pub fn play(run: &Run, work: Work) -> Outcome {
    // Flows that are opened, evenly over the time in which the links lose packets.
    let (own, hosts, endpoints, flows) = match work {
        Work::Restart => (0, [4, 1, 1], 5, 220_u16),
        Work::Remove => (1, [3, 2, 3], 6, 400),
    };
    let rig = Rig::start(run, endpoints, &hosts)?;
    // The zone of the requesters is evacuated, so their flows go to the other zones.
    rig.store.put(&format!("op/evacuate/{}", ZONES[own]), b"{}");
    rig.record.line(&format!("evacuation of {} confirmed", ZONES[own]));
    std::thread::sleep(Duration::from_secs(6));
    let plans = (0..flows).map(|number| FlowPlan {
        port: 1_024 + number,
        route: ROUTE.0,
        route_port: ROUTE.1,
        open_at: Duration::from_millis(200)
            + LOSSY_FOR.mul_f64(0.95) * u32::from(number) / u32::from(flows),
        requests: vec![Duration::from_millis(30), PAUSE],
        budget: Duration::from_millis(2_500),
        closes: false,
    });
    let seen = requester::start(
        loopback(rig.network, own as u8 + 1, 200),
        rig.ports.packet,
        ZONES[own],
        rig.hosts.clone(),
        plans.collect(),
        rig.links.clone(),
        rig.record.clone(),
        rig.stop.clone(),
    )?;
    rig.links.every.store(LOSES_ONE_IN, Ordering::Relaxed);
    rig.links.on.store(run.trouble, Ordering::Relaxed);
    let began = Instant::now();
    rig.record.line(&format!("links of {} lose packets: {}", ZONES[own], run.trouble));
    std::thread::sleep(LOSSY_FOR);
    rig.links.on.store(false, Ordering::Relaxed);
    let lossy_until = Instant::now();
    let (passed, lost) = rig.links.counts();
    rig.record.say(&format!("links lost {lost} of {passed} packets between zones in 5.5 s"));
    let mut stops = Vec::new();
    for host in rig.hosts.iter().filter(|host| host.settings.zone == ZONES[own]) {
        let host = Arc::clone(host);
        stops.push(std::thread::spawn(move || match work {
            Work::Restart => Rig::roll(&host).is_ok(),
            Work::Remove => {
                host.signal(SIGTERM);
                host.wait_ended(Duration::from_secs(6)).is_some()
            }
        }));
        std::thread::sleep(match work {
            Work::Restart => RESTART_GAP,
            Work::Remove => REMOVE_GAP,
        });
    }
    if !stops.into_iter().all(|stop| stop.join().unwrap_or(false)) {
        return Err("a host did not stop or start".into());
    }
    rig.record.line(&format!("{work:?}: all hosts of {}", ZONES[own]));
    let last = began + LOSSY_FOR + PAUSE + Duration::from_secs(4);
    std::thread::sleep(last.saturating_duration_since(Instant::now()));
    judge(&rig, &seen, lossy_until)
}

/// FLOW (a): the requester of an open flow gets a reset that the flow's endpoint did not send.
fn judge(rig: &Rig, seen: &Receiver<Seen>, lossy_until: Instant) -> Outcome {
    let (mut opened, mut answers, mut gave_up, mut not_opened) = (0, 0, 0, 0);
    let mut broken = 0;
    let mut endpoints: HashMap<FlowKey, SocketAddr> = HashMap::new();
    for event in seen.try_iter() {
        match event {
            Seen::Opened { key, endpoint, .. } => {
                opened += 1;
                endpoints.insert(key, endpoint);
            }
            Seen::Asked { .. } => {}
            Seen::NotOpened { .. } => not_opened += 1,
            Seen::Answer { .. } => answers += 1,
            Seen::GaveUp { .. } => gave_up += 1,
            Seen::NotGenuine { key, from } => {
                rig.record.say(&format!("{} got a packet from {from} not written so", short(key)));
                broken += 1;
            }
            Seen::Reset { key, from, host, at, .. } => {
                let own = endpoints.get(&key).copied();
                let holder = rig
                    .endpoints
                    .iter()
                    .find(|endpoint| Some(SocketAddr::from(endpoint.settings.address)) == own);
                let open_since =
                    holder.and_then(|holder| holder.held.lock().unwrap().open.get(&key).copied());
                let is_calm = at.saturating_duration_since(lossy_until) >= STABILITY_WINDOW;
                let counts = own != Some(from) && open_since.is_some() && is_calm;
                broken += u32::from(counts);
                rig.record.say(&format!(
                    "flow {} of endpoint {own:?}, open there: {}, gets a reset from {from} {:.1} s \
                     after the last loss, sent on by {host}: counts {counts}",
                    short(key),
                    open_since.is_some(),
                    at.saturating_duration_since(lossy_until).as_secs_f64(),
                ));
            }
        }
    }
    rig.record.say(&format!(
        "opened {opened}, not opened {not_opened}, answers {answers}, given up {gave_up}, \
         FLOW broken {broken} times"
    ));
    match opened {
        0 => Err("no flow was opened".into()),
        _ => Ok(broken > 0),
    }
}
