//! Ended and former runs of a registry, by their cookies.

use std::collections::{HashMap, HashSet};

use super::proof::EndedUpstream;
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::snapshot::CookieRoute;
use crate::cookie::upstream_view::UpstreamView;
use crate::identity::ServiceId;
use crate::registry::{RegistryKey, RegistryTable, UpstreamRegistration, UpstreamRun};

/// Returns the upstreams whose runs have provably ended, without those whose cookie another run has
/// too: its flows could not be told apart.
pub(in crate::cookie) fn ended_upstreams(
    registry: &RegistryTable,
    upstreams: &[UpstreamView],
) -> Vec<EndedUpstream> {
    let ended_runs = registry.ended_runs();
    if ended_runs.is_empty() {
        return Vec::new();
    }
    let runs_by_cookie = runs_by_cookie(registry, upstreams);
    let has_own_cookie =
        |cookie: FlowCookie| runs_by_cookie.get(&cookie).is_some_and(|runs| runs.len() == 1);
    ended_runs
        .iter()
        .map(|run| EndedUpstream {
            cookie: cookie_of(&run.registration),
            successor: cookie_of(&run.successor),
            position: run.position,
            learned_at: run.successor_learned_at,
        })
        .filter(|ended| has_own_cookie(ended.cookie) && has_own_cookie(ended.successor))
        .collect()
}

/// Returns the present upstream of each run of the last 75 s that a later run under the same id has
/// followed, for the services of routes with several backends.
///
/// The present run resets the flows of a former one itself.
pub(in crate::cookie) fn former_runs<'a>(
    registry: &RegistryTable,
    routes: impl Iterator<Item = &'a CookieRoute>,
    upstreams: &HashMap<FlowCookie, usize>,
) -> HashMap<FlowCookie, usize> {
    let split = routes.filter(|route| route.is_split());
    let services: HashSet<ServiceId> = split.flat_map(CookieRoute::weighted_services).collect();
    let mut former = HashMap::new();
    for (key, entry) in registry.entries() {
        let (RegistryKey::Upstream(name), Some(present)) = (key, registry.registration(entry))
        else {
            continue;
        };
        let index = upstreams.get(&cookie_of(present)).copied();
        let Some(index) = index.filter(|_| services.contains(&present.service)) else { continue };
        let cookies = registry.recent_runs(name).iter().map(cookie_of_run);
        for cookie in cookies.filter(|cookie| !upstreams.contains_key(cookie)) {
            former.entry(cookie).or_insert(index);
        }
    }
    former
}

/// Returns the runs that each cookie may stand for.
fn runs_by_cookie(
    registry: &RegistryTable,
    upstreams: &[UpstreamView],
) -> HashMap<FlowCookie, HashSet<(u64, u64)>> {
    let mut runs_by_cookie: HashMap<FlowCookie, HashSet<(u64, u64)>> = HashMap::new();
    for view in upstreams {
        let run = (view.tag, view.incarnation);
        runs_by_cookie.entry(view.cookie).or_default().insert(run);
        for run in registry.recent_runs(&view.name) {
            let (cookie, registration) = (cookie_of_run(run), &run.registration);
            let run = (registration.tag, registration.incarnation);
            runs_by_cookie.entry(cookie).or_default().insert(run);
        }
    }
    runs_by_cookie
}

fn cookie_of(registration: &UpstreamRegistration) -> FlowCookie {
    FlowCookie::derive(registration.tag, registration.incarnation)
}

fn cookie_of_run(run: &UpstreamRun) -> FlowCookie {
    cookie_of(&run.registration)
}
