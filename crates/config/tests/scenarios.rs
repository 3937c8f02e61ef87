//! Runs the scripts in `tests/scenarios`, which hold folders and the expected output.
//!
//! `file NAME` adds a file with the lines below it. `check` prints the report or the numbers
//! of entries, `warnings` prints the warnings of a folder without errors, `merge` prints the
//! merged settings, `render` prints the report as the command line does, and `jobs` parses a
//! file of jobs.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::fmt::Write;

use datadriven::{TestCase, walk};
use miette::{GraphicalReportHandler, GraphicalTheme};
use sycamorerill_config::{Folder, Problem, Report, parse_jobs};
use sycamorerill_core::model::Config;

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut files = Vec::new();
        file.run(|case| match case.directive.as_str() {
            "file" => {
                files.push((file_name(case), case.input.clone()));
                String::new()
            }
            "merge" => merge(&Folder::from_files(std::mem::take(&mut files))),
            "check" => match Folder::from_files(std::mem::take(&mut files)).check() {
                Ok(config) => summary(&config),
                Err(report) => list(&report),
            },
            "warnings" => warnings(&Folder::from_files(std::mem::take(&mut files))),
            "jobs" => match parse_jobs("jobs.toml", &case.input) {
                Ok(jobs) => jobs.iter().map(|job| format!("{job:?}\n")).collect(),
                Err(report) => list(&report),
            },
            "render" => match Folder::from_files(std::mem::take(&mut files)).check() {
                Ok(config) => summary(&config),
                Err(report) => render(&report),
            },
            other => panic!("unknown directive {other}"),
        });
    });
}

fn file_name(case: &TestCase) -> String {
    case.args.keys().next().unwrap().clone()
}

fn merge(folder: &Folder) -> String {
    let mut text = String::new();
    for setting in folder.merge().settings() {
        let location = format!("{}:{}", setting.file, setting.line);
        writeln!(text, "{} = {} ({location})", setting.key, setting.value).unwrap();
    }
    text
}

fn summary(config: &Config) -> String {
    format!(
        "accepted: {} services, {} classes, {} teams, {} targets, {} domains\n",
        config.services.len(),
        config.classes.len(),
        config.teams.len(),
        config.targets.len(),
        config.domains.len()
    )
}

fn warnings(folder: &Folder) -> String {
    let merged = folder.merge();
    list_problems(&merged.warnings(&merged.check().unwrap()))
}

fn list(report: &Report) -> String {
    list_problems(report.problems())
}

fn list_problems(problems: &[Problem]) -> String {
    let mut text = String::new();
    for problem in problems {
        let location = format!("{}:{}:{}", problem.file(), problem.line(), problem.column());
        writeln!(text, "{location}: {problem}").unwrap();
        if let Some(hint) = problem.kind().hint() {
            writeln!(text, "  {hint}").unwrap();
        }
    }
    text
}

fn render(report: &Report) -> String {
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    let mut text = String::new();
    handler.render_report(&mut text, report).unwrap();
    text.lines().fold(String::new(), |text, line| text + line.trim_end() + "\n")
}
