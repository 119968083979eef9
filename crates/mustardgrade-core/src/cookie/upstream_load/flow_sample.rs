//! Sample of the upstreams that are considered for one flow.

/// Number of upstreams in a sample. If a third of all upstreams is slow or full, 1 of 81 samples
/// holds only such upstreams.
const SAMPLE_SIZE: usize = 4;

/// `FlowSample` holds the candidates that the hash of a flow ranks first.
///
/// Reports of other hosts are up to 350 ms old. Hosts that all chose the least loaded upstream by
/// them would choose the same one until the next reports. Each flow has a sample of its own instead,
/// in which the least loaded upstream is chosen.
#[derive(Debug)]
pub(in crate::cookie) struct FlowSample<'c, C> {
    /// Candidates with their scores, the highest score first.
    ranked: [Option<(u64, &'c C)>; SAMPLE_SIZE],
}

impl<'c, C> FlowSample<'c, C> {
    pub(in crate::cookie) fn new() -> Self {
        Self { ranked: [None; SAMPLE_SIZE] }
    }

    /// Adds a candidate, unless enough others have a higher score.
    pub(in crate::cookie) fn add(&mut self, candidate: &'c C, score: u64) {
        let mut entry = (score, candidate);
        for slot in &mut self.ranked {
            match slot {
                Some(ranked) if ranked.0 >= entry.0 => {}
                Some(ranked) => std::mem::swap(ranked, &mut entry),
                None => {
                    *slot = Some(entry);
                    return;
                }
            }
        }
    }

    /// Returns the candidates of the sample.
    pub(in crate::cookie) fn into_candidates(self) -> impl Iterator<Item = &'c C> {
        self.ranked.into_iter().flatten().map(|(_, candidate)| candidate)
    }
}
