//! Runs one case of the second review: `review-standin-2 CASE FOLDER RECORD`. `TROUBLE=0` leaves the
//! disruption out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
//! run.

mod cases;
mod executor;
mod http;
mod record;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let setup = cases::Setup {
        folder: PathBuf::from(folder),
        record: PathBuf::from(record),
        trouble: !trouble,
    };
    let broken = match case.as_str() {
        "hopeless" => setup.hopeless(),
        "renamed" => setup.renamed(),
        "blamed" => setup.blamed(),
        "closed-end" => setup.closed_end(),
        "late-seen" => setup.late_seen(),
        "many-ends" => setup.many_ends(),
        "racks" => setup.racks(),
        "pending" => setup.pending(),
        other => Err(format!("no case `{other}`")),
    };
    match broken {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
