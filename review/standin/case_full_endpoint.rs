//! An endpoint holds as many flows as it can; a second one has joined it, and then many users come
//! at once.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{Clients, Command, Seen};
use crate::endpoint::{Endpoint, EndpointConfig, Observation, Observations};
use crate::host::{loopback, Host, HostConfig};
use crate::record::Record;
use crate::store::Store;
use crate::Verdict;

/// Flows that an endpoint holds, as the manifest says, and feeds, each with a flow of its own.
const MAX_FLOWS: usize = 16;
const FEEDS: u32 = 16;

/// Pause between two requests of a feed.
const FEED_PERIOD: Duration = Duration::from_millis(6_000);

/// Interval between other requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Requests that come at once, how often, and the interval between such bursts.
const BURST: u32 = 24;
const BURSTS: u32 = 25;
const BURST_INTERVAL: Duration = Duration::from_secs(3);

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start(loopback(1), Vec::new(), record).map_err(text)?;
    let config = HostConfig {
        name: "front-a-1".to_owned(),
        zone: "zone-a".to_owned(),
        ip: loopback(10),
        store: store_address,
    };
    let mut host = Host::prepare(config, record)?;
    let route = SocketAddrV4::new(loopback(200), 443);
    store.put("op/config", &manifest(route));
    let observations: Observations = Arc::default();
    let traffic = host.traffic;
    let endpoint = |number: u32| {
        let config = EndpointConfig {
            id: format!("i-{:08x}", 0x4a00_0000 + number),
            service: "desk".to_owned(),
            zone: "zone-a".to_owned(),
            ip: loopback(50),
            caller_udp_port: traffic.port(),
            slots: 4,
            max_flows: MAX_FLOWS,
            work: Duration::from_millis(55),
            cold: Duration::ZERO,
        };
        Endpoint::start(config, &store, record, &observations).map_err(text)
    };
    let first = endpoint(0)?;
    host.start()?;
    host.wait_ready()?;
    let clients = Clients::start(loopback(100), traffic, record).map_err(text)?;
    for number in 0..FEEDS {
        let first = FEED_PERIOD * (number * 7 % FEEDS) / FEEDS / 3;
        clients.send(Command::Feed { route, first, period: FEED_PERIOD + Duration::from_millis(u64::from(number) * 37) });
    }
    std::thread::sleep(Duration::from_secs(4));
    let second = endpoint(1)?;
    let pause = |time: Duration| {
        let mut left = time;
        while !left.is_zero() {
            clients.send(Command::Request { route });
            std::thread::sleep(REQUEST_INTERVAL.min(left));
            left = left.saturating_sub(REQUEST_INTERVAL);
        }
    };
    pause(Duration::from_secs(6));
    let mut broken = Vec::new();
    for number in 1..=BURSTS {
        if trouble {
            record.line(format!("burst {number}: {BURST} requests at once"));
            for _ in 0..BURST {
                clients.send(Command::Request { route });
            }
        }
        pause(BURST_INTERVAL);
        broken = broken_flows(&observations, &clients);
        if !broken.is_empty() {
            break;
        }
    }
    for (at_ms, port, endpoint) in &broken {
        record.line_at(
            *at_ms,
            format!("flow {port}, open at {endpoint}, which lives and has not reset it, is reset"),
        );
    }
    if host.has_ended() {
        return Err("the host has ended".to_owned());
    }
    let (answered, failed) = clients.counts();
    record.line(format!(
        "open flows reset by the system: {}; requests answered: {answered}, failed: {failed}",
        broken.len()
    ));
    clients.stop();
    first.leave();
    second.leave();
    host.stop();
    host.record_log();
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Returns the resets of the system's own on flows that were open at an endpoint.
fn broken_flows(observations: &Observations, clients: &Clients) -> Vec<(u64, u16, String)> {
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
            (opened_ms < at_ms && !ended_before).then(|| (*at_ms, *port, (*endpoint).to_owned()))
        }
        _ => None,
    });
    resets.collect()
}

fn manifest(route: SocketAddrV4) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-desk\",\"host\":\"{}\",\"prefix\":\"/{}/\",\
         \"routeType\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":250,\"priority\":2,\
         \"service\":\"desk\",\"attempts\":2}}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/health\",\"maxConns\":{MAX_FLOWS},\"protocol\":\"h1\",\"tls\":false,\
         \"coldStartS\":2.0,\"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route.ip(),
        route.port()
    )
}
