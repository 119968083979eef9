//! Routing of a packet on a copy of the router.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::error::{ExplainError, Result};
use super::explanation::FlowExplanation;
use super::reason::describe;
use crate::cookie::flow_cookie::FlowCookie;
use crate::cookie::holders::HolderAnnouncements;
use crate::cookie::packet::CookiePacket;
use crate::cookie::picker::PickBuffers;
use crate::cookie::router::CookieRouter;
use crate::cookie::upstream_load::RequestQueue;
use crate::flow::{FlowKey, FlowPacket, SegmentFlags};

/// Distance of the sequence number of a new opening from those of a known flow of the same
/// addresses, so that it is not taken for a late transmission of that flow's opening.
const NEW_FLOW_DISTANCE: u32 = 1 << 31;

impl CookieRouter {
    /// Explains where the opening of a new flow would go now; with a cookie, where a packet of an
    /// open flow would. Nothing of the router changes.
    ///
    /// # Errors
    ///
    /// Fails if no snapshot is installed, or no route has the address.
    pub fn explain_flow(
        &self,
        key: FlowKey,
        cookie: Option<FlowCookie>,
        now: Duration,
    ) -> Result<FlowExplanation> {
        self.explain_packet(&self.sample_packet(key, cookie), now)
    }

    /// Explains where a packet would go now. Nothing of the router changes.
    ///
    /// # Errors
    ///
    /// Fails if no snapshot is installed, or no route has the address.
    pub fn explain_packet(&self, packet: &CookiePacket, now: Duration) -> Result<FlowExplanation> {
        self.check_route(packet)?;
        let mut copy = self.dry_run_copy(&packet.segment.key);
        let verdict = copy.route(packet, now);
        let records = copy.pick_buffers.records.take().unwrap_or_default();
        Ok(describe(self, packet, verdict, &records, now))
    }

    /// Fails unless the manifest has the packet's route, or has had it when its flow was opened.
    fn check_route(&self, packet: &CookiePacket) -> Result<()> {
        let (snapshot, address) = (&self.snapshot, packet.segment.key.service);
        if !snapshot.is_loaded {
            return Err(ExplainError::NotLoaded);
        }
        let is_dropped = snapshot.dropped_routes.contains(&address);
        let may_be_open = is_dropped && !packet.segment.opens_flow();
        if snapshot.routes.contains_key(&address) || may_be_open {
            return Ok(());
        }
        let routes = snapshot.routes.values();
        let mut routes: Vec<(String, SocketAddrV4)> =
            routes.map(|route| (route.config.name.clone(), route.config.address)).collect();
        routes.sort_by_key(|(_, address)| *address);
        let manifest_version = snapshot.manifest_version;
        Err(ExplainError::UnknownRoute { address, manifest_version, routes })
    }

    /// Returns the first opening of a new flow, or the next packet of an open one.
    fn sample_packet(&self, key: FlowKey, cookie: Option<FlowCookie>) -> CookiePacket {
        let known = self.flows.get(&key);
        let next_sequence = known.map_or(0, |flow| flow.next_sequence);
        let segment = match cookie {
            None => FlowPacket {
                key,
                flags: SegmentFlags { syn: true, ..SegmentFlags::default() },
                sequence: next_sequence.wrapping_add(NEW_FLOW_DISTANCE),
                acknowledgement: 0,
                payload_length: 0,
            },
            Some(_) => FlowPacket {
                key,
                flags: SegmentFlags { ack: true, ..SegmentFlags::default() },
                sequence: next_sequence,
                acknowledgement: known.map_or(0, |flow| flow.last_acknowledgement),
                payload_length: 0,
            },
        };
        CookiePacket { segment, cookie: cookie.unwrap_or(FlowCookie::NONE) }
    }

    /// Returns a copy of all that decides on a packet of the flow `key`. Other flows, waiting
    /// events and timeouts do not, so they are left out.
    fn dry_run_copy(&self, key: &FlowKey) -> Self {
        let refused = self.refused_openings.get(key).map(|refused| (*key, *refused));
        Self {
            options: self.options,
            snapshot: Arc::clone(&self.snapshot),
            trackers: self.trackers.clone(),
            peers: Arc::clone(&self.peers),
            peer_loads: self.peer_loads.clone(),
            flows: self.flows.excerpt(key),
            opening_queue: VecDeque::new(),
            refused_openings: refused.into_iter().collect(),
            request_queue: RequestQueue::default(),
            load_model: self.load_model.clone(),
            counters: self.counters,
            events: Vec::new(),
            drained_at: self.drained_at,
            received_after: self.received_after,
            last_called_at: self.last_called_at,
            has_stalled: self.has_stalled,
            last_expiry: self.last_expiry,
            utilisation: self.utilisation,
            load_estimator: self.load_estimator,
            all_suspected_at: self.all_suspected_at,
            reachability: self.reachability.clone(),
            report_cursor: self.report_cursor,
            pick_buffers: PickBuffers::recording(),
            pace: self.pace.clone(),
            spillover: self.spillover.clone(),
            admission: self.admission.clone(),
            ended_runs: self.ended_runs.clone(),
            holder_announcements: HolderAnnouncements::default(),
            outliers: self.outliers.clone(),
        }
    }
}
