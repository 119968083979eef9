//! Stand-ins and scripts of the review's cases: `review-standin-2 CASE TROUBLE RECORD`.
//!
//! TROUBLE is 0 for a run without the disruption, and RECORD the file that the run writes.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod early_hangup;
mod endpoint;
mod evacuated;
mod hosts;
mod lost_answer;
mod other_writer;
mod packet;
mod record;
mod requester;
mod reused_port;
mod setup;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Time limit of a run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Result of a case: whether the rule held.
pub type CaseResult = Result<bool, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, trouble, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE TROUBLE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = trouble != "0";
    let record = PathBuf::from(record);
    // Hosts end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        println!("could not run: time limit");
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "lost-answer" => lost_answer::run(&record, has_trouble),
        "reused-port" => reused_port::run(&record, has_trouble),
        "early-hangup" => early_hangup::run(&record, has_trouble),
        "evacuated" => evacuated::run(&record, has_trouble),
        "other-writer" => other_writer::run(&record, has_trouble),
        _ => Err(format!("no case '{case}'").into()),
    };
    match result {
        Ok(true) => {
            println!("rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("RULE BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
