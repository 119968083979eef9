//! Limits of the machines in a simulation with cookies: processors of hosts, and the store.

use std::time::Duration;

use super::cursor::Cursor;
use super::errors::Result;

/// `ProcessorSpec` is the processor time that hosts have and need; without it, hosts work in no
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessorSpec {
    /// Share of the weakest host, in thousandths of a core.
    pub min_millicores: u16,
    /// Share of the strongest host, in thousandths of a core.
    pub max_millicores: u16,
    /// Processor time from the start of a process until its controller runs.
    pub start_cost: Duration,
    /// Processor time to receive or to send a message between hosts.
    pub message_cost: Duration,
    /// Processor time to decode an entry of the registry, to encode it, or to add it to a snapshot.
    pub entry_cost: Duration,
    /// Processor time to forward a packet.
    pub packet_cost: Duration,
}

/// `StoreLimits` are the limits that the store enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum number of read calls a second; each page of a read is a call.
    pub reads_per_sec: u32,
    /// Maximum number of write calls a second.
    pub writes_per_sec: u32,
    /// Maximum number of entries in a page.
    pub entries_per_page: usize,
}

/// Parses the rest of a `processors` statement.
pub(super) fn parse_processors(cursor: &mut Cursor) -> Result<ProcessorSpec> {
    let min_millicores = cursor.expect_number("number of thousandths of a core")?;
    let max_millicores = cursor.expect_number("number of thousandths of a core")?;
    cursor.expect_keyword("start")?;
    let start_cost = cursor.expect_duration("processor time of a start")?;
    cursor.expect_keyword("message")?;
    let message_cost = cursor.expect_duration("processor time of a message")?;
    cursor.expect_keyword("entry")?;
    let entry_cost = cursor.expect_duration("processor time of an entry")?;
    cursor.expect_keyword("packet")?;
    let packet_cost = cursor.expect_duration("processor time of a packet")?;
    Ok(ProcessorSpec {
        min_millicores,
        max_millicores,
        start_cost,
        message_cost,
        entry_cost,
        packet_cost,
    })
}

/// Parses the rest of a `store` statement.
pub(super) fn parse_store_limits(cursor: &mut Cursor) -> Result<StoreLimits> {
    cursor.expect_keyword("reads")?;
    let reads_per_sec = cursor.expect_rate_per_sec("rate of reads")? as u32;
    cursor.expect_keyword("writes")?;
    let writes_per_sec = cursor.expect_rate_per_sec("rate of writes")? as u32;
    cursor.expect_keyword("page")?;
    let entries_per_page = cursor.expect_number("number of entries")?;
    Ok(StoreLimits { reads_per_sec, writes_per_sec, entries_per_page })
}
