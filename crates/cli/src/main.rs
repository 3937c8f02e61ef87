//! Command-line program for operators.

mod args;
mod client;
mod commands;
mod demo;
mod failure;
mod load;
mod output;
mod parse;

use std::env;
use std::process::ExitCode;

use crate::failure::Failure;

fn main() -> ExitCode {
    let args: Vec<String> =
        env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match args::parse(&args) {
        Ok(args) => args,
        Err(exit) => return exit.print(),
    };
    let format = args.format();
    match commands::run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure::print(&failure, format),
    }
}
