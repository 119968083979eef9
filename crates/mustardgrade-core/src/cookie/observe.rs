//! What a cookie router infers of upstreams from the packets that pass.

use std::time::Duration;

use super::load::{LoadEntry, LoadReport, MOST_ENTRIES};
use super::memo::{FlowMemo, FlowStage};
use super::packet::{AnswerStage, CookiePacket, FlowEvent};
use super::router::{CookieRouter, FabricKind};
use super::token::FlowCookie;
use super::track::UpstreamTrack;
use crate::flow::{FlowKey, FlowPacket};

/// Time after which a payload that is sent again counts as unanswered.
const REPEAT_TIME: Duration = Duration::from_millis(150);

/// Time after which a request counts as answered, whether its caller has said so or not.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Time for which a sign of life is worth telling the other hosts.
const TELLING_TIME: Duration = Duration::from_secs(1);

/// Time for which a new flow that found nothing but silent upstreams tells the present.
const STRANDED_TIME: Duration = Duration::from_millis(300);

impl CookieRouter {
    /// Takes requests for answered whose callers had nothing to acknowledge: a short answer is
    /// acknowledged with the next request only.
    pub(super) fn settle_requests(&mut self, now: Duration) {
        while let Some((sent, key)) = self.requests.front().copied() {
            if now.saturating_sub(sent) < ANSWER_TIME {
                break;
            }
            self.requests.pop_front();
            let Some(memo) = self.memos.get_mut(&key) else { continue };
            if memo.request != Some(sent) || !memo.counted {
                continue;
            }
            memo.counted = false;
            if let Some(at) = self.snapshot.find(memo.cookie) {
                self.tracks[at].busy = self.tracks[at].busy.saturating_sub(1);
            }
        }
    }

    /// Learns from a packet of an open flow.
    pub(super) fn observe(
        &mut self,
        at: usize,
        packet: &CookiePacket,
        cookie: FlowCookie,
        now: Duration,
    ) {
        let segment = &packet.segment;
        let known = self.memos.get(&segment.key).copied();
        let mut memo = match known {
            Some(memo) if memo.cookie == cookie => memo,
            Some(_) | None => {
                self.forget(&segment.key);
                let memo = FlowMemo::adopted(cookie, segment, now);
                if !self.memos.insert(segment.key, memo) {
                    return;
                }
                self.tracks[at].open += 1;
                if self.options.fabric == FabricKind::Any && segment.is_pure_acknowledgement() {
                    // Callers acknowledge at once what they receive.
                    self.note_alive(at, now);
                }
                memo
            }
        };
        let answered = memo.stage == FlowStage::Opening
            || segment.acknowledgement.wrapping_sub(memo.acknowledged) as i32 > 0;
        if memo.stage == FlowStage::Opening {
            memo.stage = FlowStage::Open;
            self.note_answer(segment, AnswerStage::Opening, memo.opened, now);
            if std::mem::take(&mut memo.counted) {
                self.tracks[at].opening = self.tracks[at].opening.saturating_sub(1);
            }
            self.tracks[at].open += 1;
        }
        if answered {
            memo.acknowledged = segment.acknowledgement;
            memo.unanswered = false;
            let mut life = now;
            if let Some(sent) = memo.request.take() {
                if segment.payload_length > 0 {
                    // The answer may have come long before the request that acknowledges it.
                    life = now.min(sent + ANSWER_TIME);
                }
                self.note_answer(segment, AnswerStage::Request, sent, now);
                let counted = u32::from(std::mem::take(&mut memo.counted));
                self.tracks[at].busy = self.tracks[at].busy.saturating_sub(counted);
            }
            self.note_alive(at, life);
        }
        if segment.payload_length > 0 {
            self.observe_payload(at, &mut memo, segment, now);
        }
        memo.seen = now;
        if let Some(entry) = self.memos.get_mut(&segment.key) {
            *entry = memo;
        }
    }

    pub(super) fn observe_payload(
        &mut self,
        at: usize,
        memo: &mut FlowMemo,
        segment: &FlowPacket,
        now: Duration,
    ) {
        let end = segment.sequence.wrapping_add(u32::from(segment.payload_length));
        let fresh = end.wrapping_sub(memo.data_end) as i32 > 0;
        if fresh {
            memo.data_end = end;
            memo.carried_data = true;
            if memo.request.is_none() {
                memo.request = Some(now);
                memo.counted = true;
                self.tracks[at].busy += 1;
                self.requests.push_back((now, segment.key));
            }
            return;
        }
        let Some(sent) = memo.request else { return };
        if !memo.unanswered && now.saturating_sub(sent) >= REPEAT_TIME {
            memo.unanswered = true;
            self.note_unanswered(at, sent, now);
        }
    }

    fn note_answer(
        &mut self,
        segment: &FlowPacket,
        stage: AnswerStage,
        asked: Duration,
        now: Duration,
    ) {
        let took = now.saturating_sub(asked);
        self.events.push(FlowEvent::Answered { key: segment.key, stage, took });
    }

    pub(super) fn note_alive(&mut self, at: usize, life: Duration) {
        let track = &mut self.tracks[at];
        let suspected = track.is_suspected(&self.options.track);
        track.note_alive(life);
        if suspected && !track.is_suspected(&self.options.track) {
            self.events.push(FlowEvent::Cleared { cookie: track.cookie });
        }
    }

    pub(super) fn note_unanswered(&mut self, at: usize, sent: Duration, now: Duration) {
        let track = &mut self.tracks[at];
        if track.note_unanswered(sent, &self.options.track) {
            self.counters.suspicions += 1;
            self.events.push(FlowEvent::Suspected {
                cookie: track.cookie,
                unanswered: track.unanswered,
                silent: now.saturating_sub(track.alive),
            });
        }
    }

    pub(super) fn note_missing(&mut self, key: &FlowKey, sent: Duration, now: Duration) {
        let Some(memo) = self.memos.get_mut(key) else { return };
        if memo.stage != FlowStage::Opening || memo.opened != sent {
            return;
        }
        let counted = std::mem::take(&mut memo.counted);
        if let Some(at) = self.snapshot.find(memo.cookie) {
            // The opening is no work in hand any more: its caller may be gone.
            let opening = &mut self.tracks[at].opening;
            *opening = opening.saturating_sub(u32::from(counted));
            if self.options.fabric == FabricKind::Hash {
                self.note_unanswered(at, sent, now);
            }
        }
    }

    /// Returns what this host has inferred of the upstreams that matter now.
    #[must_use]
    pub fn load_report(&mut self, now: Duration) -> LoadReport {
        self.follow_reach(now);
        self.follow_pressure(now);
        for track in &mut self.tracks {
            track.told = track.work();
        }
        let suspects = |track: &&UpstreamTrack| track.silent_since().is_some();
        let tells = |track: &&UpstreamTrack| {
            track.work() > 0
                || (!track.alive.is_zero() && now.saturating_sub(track.alive) < TELLING_TIME)
        };
        // Silence comes first. Of the others each report names the next ones, if there are too many.
        let silent = self.tracks.iter().filter(suspects);
        let sound = |track: &&UpstreamTrack| tells(track) && !suspects(track);
        let (before, after) = self.tracks.split_at(self.told_from.min(self.tracks.len()));
        let sound = after.iter().filter(sound).chain(before.iter().filter(sound));
        let entries: Vec<LoadEntry> =
            silent.chain(sound).take(MOST_ENTRIES).map(|track| load_entry(track, now)).collect();
        self.told_from = match entries.len() < MOST_ENTRIES {
            true => 0,
            false => (self.told_from + MOST_ENTRIES) % self.tracks.len().max(1),
        };
        LoadReport {
            pressed: self.is_pressed(),
            whole: true,
            stranded: self.stranded.is_some_and(|at| now.saturating_sub(at) < STRANDED_TIME),
            entries,
        }
    }
}

fn load_entry(track: &UpstreamTrack, now: Duration) -> LoadEntry {
    let age = |since| saturate(now.saturating_sub(since).as_millis() as u32);
    let silence = track.silent_since();
    LoadEntry {
        cookie: track.cookie,
        work: saturate(track.work()),
        unanswered: saturate(track.unanswered),
        waiting_ms: silence.map_or(u16::MAX, age),
        alive_ms: if track.alive.is_zero() { u16::MAX } else { age(track.alive) },
    }
}

fn saturate(value: u32) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}
