//! Tests of the admin pages.

use std::sync::Arc;
use std::time::Duration;

use expect_test::expect;
use mustardgrade_core::identity::{DataCentreId, ServiceId};
use mustardgrade_core::registry::{
    Manifest, RegisteredState, RegistryChange, RegistryKey, RegistryTable, RegistryValue,
    RetryPolicy, RouteBackend, RouteConfig, StorePosition, UpstreamRegistration,
};

use crate::cookie_host::render_rules_page;

#[test]
fn rules_page_lists_entries_with_origin_and_revision() {
    let route = RouteConfig {
        name: "desk".to_owned(),
        address: "198.18.0.1:443".parse().expect("an address"),
        backends: vec![RouteBackend { service: ServiceId(0xab), weight: 1 }],
        retry_policy: RetryPolicy::Idempotent,
        request_timeout: Duration::from_millis(2_500),
        latency_objective: Duration::from_millis(250),
        priority: 2,
    };
    let manifest = Manifest {
        version: 7,
        routes: vec![route],
        services: Vec::new(),
        idle_timeout: Duration::from_secs(15),
    };
    let registration = UpstreamRegistration {
        name: "i-1".to_owned(),
        tag: 1,
        incarnation: 1,
        service: ServiceId(0xab),
        address: "10.0.0.9:80".parse().expect("an address"),
        data_centre: DataCentreId::from_name("z"),
        slots: 4,
        state: RegisteredState::Draining,
        cold_remaining: Duration::ZERO,
    };
    let values = [
        (RegistryKey::Manifest, RegistryValue::Manifest(Arc::new(manifest))),
        (RegistryKey::Evacuation("z".to_owned()), RegistryValue::Evacuated),
        (RegistryKey::Upstream("i-1".to_owned()), RegistryValue::Upstream(Arc::new(registration))),
        (RegistryKey::Upstream("i-2".to_owned()), RegistryValue::Unusable),
    ];
    let mut registry = RegistryTable::default();
    for (revision, (key, value)) in (1..).zip(values) {
        let position = StorePosition { epoch: 1, revision };
        registry
            .apply(RegistryChange { key, position, value, age: Duration::ZERO }, Duration::ZERO);
    }
    expect![[r#"
        route desk 198.18.0.1:443 backends=00000000000000ab*1 repeat=idempotent timeout=2500ms priority=2  # operator, manifest version 7
        idle-timeout 15000 ms  # operator, manifest version 7
        evacuation z  # operator, revision 2
        upstream i-1 at=10.0.0.9:80 slots=4 state=draining  # the upstream itself, revision 3
        # upstream i-2 cannot be read, revision 4
    "#]]
    .assert_eq(&render_rules_page(&registry));
}
