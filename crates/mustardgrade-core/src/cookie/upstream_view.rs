//! What traffic threads know of one run of an upstream, and its derivation from the registry.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::flow_cookie::FlowCookie;
use super::snapshot::SnapshotContext;
use crate::identity::{DataCentreId, ServiceId};
use crate::registry::{
    RegisteredState, RegistryEntry, RegistryTable, RegistryValue, UpstreamRegistration,
};

/// Time for which an upstream still gets new flows after a removal that may be an effect of a store
/// outage.
const SPURIOUS_REMOVAL_GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Time after the removal of an upstream before it counts as gone; delayed registry updates arrive
/// within it.
const REMOVAL_GRACE_PERIOD: Duration = Duration::from_millis(2_500);

/// Maximum time by which the registration of an upstream lags behind when it becomes cold.
const MAX_COLD_REGISTRATION_DELAY: Duration = Duration::from_millis(500);

/// `UpstreamView` is the state of one run of an upstream that traffic threads need.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// Cookie that its flows carry.
    pub cookie: FlowCookie,
    /// Configured name, for logging.
    pub name: String,
    /// Number of the upstream, as in forwarded packets and registry entries.
    pub tag: u64,
    /// Start time of the run; newer runs have larger values.
    pub incarnation: u64,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Service that it provides.
    pub service: ServiceId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Whether it is in the same data centre as the host.
    pub is_local: bool,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Time until which it is cold.
    pub cold_until: Duration,
    /// Time until which it accepts new flows.
    pub accepts_until: Duration,
    /// Time from which it counts as gone, since its entry was removed.
    pub gone_at: Option<Duration>,
    /// Requests per second that it can handle while cold.
    pub cold_rate: f64,
}

impl UpstreamView {
    /// Returns a sort key that orders upstreams from oldest to newest.
    pub(super) fn age_key(&self) -> (u64, u64) {
        (self.incarnation, self.tag)
    }

    /// Returns whether the upstream accepts new flows, cold or not.
    #[must_use]
    pub fn accepts_flows(&self, now: Duration) -> bool {
        now < self.accepts_until
    }

    /// Returns whether the upstream is still cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether the upstream counts as gone.
    #[must_use]
    pub fn is_gone(&self, now: Duration) -> bool {
        self.gone_at.is_some_and(|at| now >= at)
    }
}

/// `ViewSource` is the registration that a view is made of, and how its entry stands now.
#[derive(Debug, Clone, Copy)]
struct ViewSource<'a> {
    registration: &'a UpstreamRegistration,
    presence: EntryPresence,
}

/// `EntryPresence` says whether the entry of an upstream is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryPresence {
    /// The entry is in force.
    InForce,
    /// Something else has been written over the entry, which says nothing of the upstream.
    Overwritten,
    /// The entry was removed.
    Removed {
        /// Whether the removal may be an effect of a store outage.
        possibly_spurious: bool,
    },
}

/// Returns the registration that an upstream's entry stands for: the present one, or the last one
/// that was in force before, since open flows may still refer to it.
fn view_source<'a>(registry: &RegistryTable, entry: &'a RegistryEntry) -> Option<ViewSource<'a>> {
    if let Some(registration) = registry.registration(entry) {
        return Some(ViewSource { registration, presence: EntryPresence::InForce });
    }
    let presence = match &entry.value {
        RegistryValue::Removed { possibly_spurious } => {
            EntryPresence::Removed { possibly_spurious: *possibly_spurious }
        }
        RegistryValue::Upstream(_) | RegistryValue::Unusable => EntryPresence::Overwritten,
        RegistryValue::Manifest(_) | RegistryValue::Evacuated | RegistryValue::RouteServices(_) => {
            return None;
        }
    };
    let registration = entry.previous_registration.as_ref()?;
    Some(ViewSource { registration, presence })
}

/// Returns the view of an upstream's entry; `None` for other entries, and if no registration of it
/// has been in force.
pub(super) fn upstream_view(
    registry: &RegistryTable,
    entry: &RegistryEntry,
    context: &SnapshotContext,
    evacuated: &HashSet<DataCentreId>,
) -> Option<UpstreamView> {
    let ViewSource { registration, presence } = view_source(registry, entry)?;
    let service_config = registry.manifest()?.service(registration.service);
    let is_ready = registration.state == RegisteredState::Ready
        && !evacuated.contains(&registration.data_centre);
    let accepts_until = match presence {
        EntryPresence::InForce if is_ready => Duration::MAX,
        EntryPresence::Removed { possibly_spurious: true } if is_ready => {
            entry.learned_at + SPURIOUS_REMOVAL_GRACE_PERIOD
        }
        EntryPresence::InForce | EntryPresence::Overwritten | EntryPresence::Removed { .. } => {
            Duration::ZERO
        }
    };
    let is_gone = matches!(presence, EntryPresence::Removed { .. });
    let is_cold = presence == EntryPresence::InForce && !registration.cold_remaining.is_zero();
    let registered_cold_until = match is_cold {
        true => entry.learned_at.saturating_add(registration.cold_remaining),
        false => Duration::ZERO,
    };
    let evacuation_end = context.evacuation_ends.get(&registration.data_centre);
    let cold_start_duration =
        service_config.map_or(Duration::ZERO, |config| config.cold_start_duration);
    let evacuation_cold_until = evacuation_end.map_or(Duration::ZERO, |at| {
        at.saturating_add(cold_start_duration).saturating_add(MAX_COLD_REGISTRATION_DELAY)
    });
    Some(UpstreamView {
        cookie: FlowCookie::derive(registration.tag, registration.incarnation),
        name: registration.name.clone(),
        tag: registration.tag,
        incarnation: registration.incarnation,
        address: registration.address,
        service: registration.service,
        data_centre: registration.data_centre,
        is_local: context.data_centre == Some(registration.data_centre),
        slots: registration.slots.max(1),
        cold_until: registered_cold_until.max(evacuation_cold_until),
        accepts_until,
        gone_at: is_gone.then_some(entry.learned_at + REMOVAL_GRACE_PERIOD),
        cold_rate: service_config.map_or(0.0, |config| config.max_cold_requests_per_sec),
    })
}
