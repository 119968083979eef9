//! Stand-ins of the users' platform, and the cases that are played with them.

mod cold_return;
mod early_hangup;
mod endpoint;
mod hosts;
mod moved_flow;
mod record;
mod requester;
mod rig;
mod silent_store;
mod store;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

/// `standin CASE ROOT FOLDER RECORD TROUBLE`: plays a case; exits with 1 if the rule was broken, 0
/// if it held, and 2 if the case could not run.
fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, record, trouble] = words.as_slice() else {
        eprintln!("usage: standin CASE ROOT FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let run = rig::Run {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        record: PathBuf::from(record),
        trouble: trouble != "0",
    };
    let outcome = match case.as_str() {
        "moved-flow" => moved_flow::play(&run, moved_flow::Work::Restart),
        "emptied-zone" => moved_flow::play(&run, moved_flow::Work::Remove),
        "silent-store" => silent_store::play(&run),
        "early-hangup" => early_hangup::play(&run),
        "cold-return" => cold_return::play(&run),
        _ => Err(format!("no case {case}").into()),
    };
    match outcome {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
