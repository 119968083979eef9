//! Stand-ins for the scripts of the review: the platform's store and router, endpoints and
//! requesters, all in one process, and the driver that starts the project's host beside them.
//!
//! `standin CASE RECORD` plays one case and writes what happened to RECORD. It exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod case_full_endpoint;
mod case_silent_connections;
mod case_stale_pages;
mod client;
mod endpoint;
mod host;
mod judge;
mod packet;
mod record;
mod store;

use std::process::exit;

use record::Record;

/// Result of a case that ran to its end.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.line(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let result = match case.as_str() {
        "silent-connections" => case_silent_connections::play(&record, trouble),
        "stale-pages" => case_stale_pages::play(&record, trouble),
        "full-endpoint" => case_full_endpoint::play(&record, trouble),
        _ => Err(format!("unknown case '{case}'")),
    };
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    match result {
        Ok(Verdict::Held) => record.line("result: the rule held"),
        Ok(Verdict::Broken) => record.line("result: the rule was broken"),
        Err(cause) => record.line(format!("result: the case could not run: {cause}")),
    }
    if let Err(error) = record.write(record_path) {
        eprintln!("cannot write {record_path}: {error}");
        exit(2);
    }
    exit(code);
}
