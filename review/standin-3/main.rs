//! `rig CASE FOLDER`: plays one case of the third review on a small site of real instances.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in its environment it leaves the disruption out.

mod executor;
mod http;
mod instance;
mod json;
mod record;
mod site;
mod store;

mod deadly;
mod gang;
mod memory;
mod overload;
mod scheduled;

use std::path::Path;
use std::process::ExitCode;

use site::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = Path::new(folder);
    let result = match case.as_str() {
        "scheduled" => scheduled::run(folder, trouble),
        "overload" => overload::run(folder, trouble),
        "deadly" => deadly::run(folder, trouble),
        "gang" => gang::run(folder, trouble),
        "memory" => memory::run(folder, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
