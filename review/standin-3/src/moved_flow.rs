//! Flows whose opening two endpoints have answered, while the hosts are restarted in turn.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use crate::endpoint::{loopback, short};
use crate::requester::{self, FlowPlan, Seen};
use crate::rig::{Outcome, ROUTE, Rig, Run, ZONES};
use crate::wire::FlowKey;

/// Flows that are opened, evenly over the time in which the links lose packets.
const FLOWS: u16 = 220;
/// Longest time and largest share of `lossy` in the site file of munadhara-edge.
const LOSSY_FOR: Duration = Duration::from_millis(5_500);
const LOSES_ONE_IN: u64 = 40;
/// Pause between the two requests of a flow. Endpoints close flows that are idle for 12 s.
const PAUSE: Duration = Duration::from_millis(11_300);
/// Time from one stop to the next, as in the site file.
const ROLL_GAP: Duration = Duration::from_millis(1_300);
const STABILITY_WINDOW: Duration = Duration::from_secs(4);

pub fn play(run: &Run) -> Outcome {
    let rig = Rig::start(run, 5, &[4, 1, 1])?;
    // The zone of the requesters is evacuated, so their flows go to the other zones.
    rig.store.put(&format!("op/evacuate/{}", ZONES[0]), b"{}");
    rig.record.line(&format!("evacuation of {} confirmed", ZONES[0]));
    std::thread::sleep(Duration::from_secs(6));
    let plans = (0..FLOWS).map(|number| FlowPlan {
        port: 1_024 + number,
        route: ROUTE.0,
        route_port: ROUTE.1,
        open_at: Duration::from_millis(200)
            + LOSSY_FOR.mul_f64(0.95) * u32::from(number) / u32::from(FLOWS),
        requests: vec![Duration::from_millis(30), PAUSE],
        budget: Duration::from_millis(2_500),
        closes: false,
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
    rig.links.every.store(LOSES_ONE_IN, Ordering::Relaxed);
    rig.links.on.store(run.trouble, Ordering::Relaxed);
    let began = Instant::now();
    rig.record.line(&format!("links of {} lose packets: {}", ZONES[0], run.trouble));
    std::thread::sleep(LOSSY_FOR);
    rig.links.on.store(false, Ordering::Relaxed);
    let lossy_until = Instant::now();
    let (passed, lost) = rig.links.counts();
    rig.record.say(&format!("links lost {lost} of {passed} packets between zones in 5.5 s"));
    // Planned work: the hosts of the zone are stopped and started in turn.
    let mut restarts = Vec::new();
    for host in rig.hosts.iter().filter(|host| host.settings.zone == ZONES[0]) {
        let host = Arc::clone(host);
        restarts.push(std::thread::spawn(move || Rig::roll(&host).is_ok()));
        std::thread::sleep(ROLL_GAP);
    }
    if !restarts.into_iter().all(|restart| restart.join().unwrap_or(false)) {
        return Err("a host did not start again".into());
    }
    rig.record.line("all hosts of the zone have been restarted");
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
