//! Runs one case of the review: `review-standin CASE ROOT FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod executor;
mod http;
mod record;
mod store;
mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let run = || cases::run(case, &root, &folder, !trouble);
    match catch_unwind(AssertUnwindSafe(run)) {
        Ok(Some(0)) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(count)) => {
            println!("the rule was broken {count} times");
            ExitCode::from(1)
        }
        Ok(None) | Err(_) => ExitCode::from(2),
    }
}
