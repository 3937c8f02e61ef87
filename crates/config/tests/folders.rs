//! Properties of merging files by name and key, and of checking malformed folders.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use sycamorerill_config::{Folder, ProblemKind, parse_jobs};

/// Settings of one generated file, by field of one of two teams.
type Settings = BTreeMap<(&'static str, &'static str), u32>;

const TEAMS: [&str; 2] = ["shop", "warehouse"];
const FIELDS: [&str; 3] = ["weight", "quota.cpu", "quota.accel"];

fn settings(u: &mut Unstructured<'_>) -> Result<Settings> {
    let count = u.int_in_range(1..=4)?;
    let pairs = (0..count).map(|_| {
        let key = (*u.choose(&TEAMS)?, *u.choose(&FIELDS)?);
        Ok((key, u.int_in_range(1..=9)?))
    });
    pairs.collect()
}

fn text(settings: &Settings) -> String {
    let line =
        |((team, field), value): (&(&str, &str), &u32)| format!("team.{team}.{field} = {value}\n");
    settings.iter().map(line).collect()
}

fn merged(files: &[(String, Settings)]) -> BTreeMap<String, String> {
    let files = files.iter().map(|(name, settings)| (name.clone(), text(settings)));
    let merged = Folder::from_files(files.collect()).merge();
    merged.settings().map(|setting| (setting.key.to_string(), setting.value)).collect()
}

#[test]
fn a_later_file_overrides_its_own_keys_and_no_others() {
    arbtest(|u| {
        let first = settings(u)?;
        let second = settings(u)?;
        let mut expected = first.clone();
        expected.extend(second.clone());
        let files = [("20.toml".to_owned(), second), ("10.toml".to_owned(), first)];
        let together = [("all.toml".to_owned(), expected)];
        assert_eq!(merged(&files), merged(&together));
        Ok(())
    });
}

#[test]
fn file_order_matters_only_for_keys_that_both_files_set_differently() {
    arbtest(|u| {
        let left = settings(u)?;
        let right = settings(u)?;
        let named = |left_name: &str, right_name: &str| {
            merged(&[(left_name.to_owned(), left.clone()), (right_name.to_owned(), right.clone())])
        };
        let has_conflict =
            left.iter().any(|(key, value)| right.get(key).is_some_and(|other| other != value));
        assert_eq!(named("10", "20") != named("20", "10"), has_conflict);
        Ok(())
    });
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn example_files() -> Vec<(String, String)> {
    let folder = Folder::read(examples().join("heaters")).unwrap();
    folder.sources().map(|file| (file.name().to_owned(), file.text().to_owned())).collect()
}

#[test]
fn a_mutated_folder_is_accepted_or_reported_with_valid_locations() {
    let files = example_files();
    arbtest(|u| {
        let mut files = files.clone();
        for _ in 0..u.int_in_range(1..=4)? {
            let index = u.choose_index(files.len())?;
            mutate(u, &mut files[index].1)?;
        }
        for (name, text) in &files {
            // Checks only that parsing does not panic, as these files hold no jobs.
            let _ = parse_jobs(name, text);
        }
        if let Err(report) = Folder::from_files(files.clone()).check() {
            assert!(!report.problems().is_empty());
            for problem in report.problems() {
                let (_, text) = files.iter().find(|(name, _)| name == problem.file()).unwrap();
                let lines = text.split('\n').count();
                assert!((1..=lines).contains(&problem.line()), "{problem}");
            }
        }
        Ok(())
    });
}

/// Removes a range of characters, or inserts arbitrary text, a TOML character or a copy of a line.
fn mutate(u: &mut Unstructured<'_>, text: &mut String) -> Result<()> {
    let offset = text.floor_char_boundary(u.int_in_range(0..=text.len())?);
    match u.int_in_range(0..=3)? {
        0 => {
            let length = u.int_in_range(0..=40)?;
            let end = text.ceil_char_boundary((offset + length).min(text.len()));
            text.replace_range(offset..end, "");
        }
        1 => text.insert_str(offset, u.arbitrary()?),
        2 => text.insert(offset, *u.choose(&['"', '[', ']', '=', '{', '}', '\n', '.', '-', '0'])?),
        _ => {
            let lines: Vec<&str> = text.lines().collect();
            if let Some(line) = lines.get(u.int_in_range(0..=lines.len())?) {
                let line = format!("\n{line}\n");
                text.insert_str(offset, &line);
            }
        }
    }
    Ok(())
}

#[test]
fn an_unreadable_file_is_reported_with_the_problems_of_other_files() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("unreadable");
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("10-wrong.toml"), "wieght = 1\n").unwrap();
    let absent = folder.join("20-absent.toml");
    let _ = fs::remove_file(&absent);
    std::os::unix::fs::symlink("nowhere", &absent).unwrap();
    let report = Folder::read(&folder).unwrap().check().unwrap_err();
    let [first, second] = report.problems() else { unreachable!("{report:?}") };
    assert!(matches!(first.kind(), ProblemKind::UnknownSection { .. }));
    assert!(matches!(second.kind(), ProblemKind::Unreadable(_)));
    assert_eq!((second.file(), second.line(), second.column()), ("20-absent.toml", 1, 1));
}
