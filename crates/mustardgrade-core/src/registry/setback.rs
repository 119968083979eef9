//! Changes of a restored store that contradict newer knowledge from its lost history.

use super::table::{RegistryEntry, RegistryValue};
use super::upstream::{RegisteredState, UpstreamRegistration};

/// Returns whether a value undoes something that its writer cannot have undone, or will write again:
/// an upstream's drain or departure, a later run of an upstream, or an evacuation.
pub(super) fn is_setback(entry: &RegistryEntry, value: &RegistryValue) -> bool {
    match (&entry.value, value) {
        (RegistryValue::Upstream(known), RegistryValue::Upstream(registration)) => {
            is_older_registration(known, registration)
        }
        (RegistryValue::Removed { .. }, RegistryValue::Upstream(registration)) => entry
            .previous_registration
            .as_ref()
            .is_some_and(|previous| registration.incarnation <= previous.incarnation),
        (RegistryValue::Evacuated, RegistryValue::Removed { .. }) => true,
        _ => false,
    }
}

fn is_older_registration(known: &UpstreamRegistration, other: &UpstreamRegistration) -> bool {
    let undoes_drain =
        known.state == RegisteredState::Draining && other.state == RegisteredState::Ready;
    other.incarnation < known.incarnation
        || (other.incarnation == known.incarnation && undoes_drain)
}
