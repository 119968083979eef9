//! Settings of the threads of a host that places flows by rules.

use mustardgrade_core::flow::FlowOptions;
use mustardgrade_core::identity::{DataCentreId, HostId, HostIncarnation};
use mustardgrade_core::request::{RequestOptions, TicketKey};

use crate::requests::RequestSettings;
use crate::settings::HostSettings;
use crate::traffic::TrafficThreadSettings;

/// Returns the settings of the traffic thread with index `lane`.
pub(super) fn traffic_thread_settings(
    settings: &HostSettings,
    local_incarnation: HostIncarnation,
    lane: u8,
) -> TrafficThreadSettings {
    TrafficThreadSettings {
        local_incarnation,
        address: settings.address,
        fabric_return: settings.fabric_return,
        ports: settings.ports,
        keys: settings.keys.clone(),
        options: FlowOptions {
            mode: settings.flow.placement_mode,
            fingerprint_seed: fingerprint_seed(&settings.fleet_secret),
            flow_capacity: settings.flow.flow_capacity,
            record_capacity: settings.flow.record_capacity,
            idle_timeout: settings.flow.idle_timeout,
            lane,
            lane_count: settings.flow.traffic_threads,
            ..FlowOptions::default()
        },
    }
}

/// Derives the seed of the flow fingerprints from the fleet secret.
///
/// Callers do not know the seed and so cannot choose flows that fall into the same bucket.
#[must_use]
pub fn fingerprint_seed(secret: &[u8]) -> u64 {
    let mut seed_input = b"mustardgrade 2026 flow fingerprint".to_vec();
    seed_input.extend_from_slice(secret);
    HostId::from_name(&String::from_utf8_lossy(&seed_input)).0
}

/// Returns the settings of the request thread.
pub(super) fn request_settings(
    settings: &HostSettings,
    local_incarnation: HostIncarnation,
) -> RequestSettings {
    let data_centre = DataCentreId::from_name(&settings.data_centre);
    let ticket_key = TicketKey::derive(&settings.fleet_secret);
    let rng_seed = local_incarnation.host.0
        ^ local_incarnation.incarnation.rotate_left(32)
        ^ rand::random::<u64>();
    RequestSettings {
        local_incarnation,
        address: settings.address,
        fabric_return: settings.fabric_return,
        ports: settings.ports,
        keys: settings.keys.clone(),
        options: RequestOptions {
            seed: rng_seed,
            ..RequestOptions::new(local_incarnation, data_centre, ticket_key)
        },
    }
}
