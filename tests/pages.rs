//! Guards against broken links between pages, pages that no index lists, and metrics or
//! flags that the operators' pages do not document.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the Markdown files of a folder, without its subfolders.
fn pages(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(root().join(folder)).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    paths.filter(|path| path.extension().is_some_and(|found| found == "md")).collect()
}

/// Returns the targets of the relative links of a page, without their fragments.
fn links(page: &Path) -> Vec<String> {
    let text = fs::read_to_string(page).unwrap();
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split_once(')'));
    let targets = targets.map(|(target, _)| target.split('#').next().unwrap().to_owned());
    targets.filter(|target| !target.is_empty() && !target.contains("://")).collect()
}

#[test]
fn links_point_to_existing_files() {
    let folders = ["", "docs", "docs/design", "docs/operations"];
    for page in folders.into_iter().flat_map(pages) {
        for link in links(&page) {
            let target = page.parent().unwrap().join(&link);
            assert!(target.exists(), "{} links to {link}, which does not exist", page.display());
        }
    }
}

/// Returns the rest of the string literal after each occurrence of `start` in a source
/// file.
fn literals_after(file: &str, start: &str) -> Vec<String> {
    let text = fs::read_to_string(root().join(file)).unwrap();
    let rests = text.split(start).skip(1);
    rests.map(|rest| rest.split('"').next().unwrap().to_owned()).collect()
}

#[test]
fn entry_instance_page_documents_every_metric_and_flag() {
    let page = fs::read_to_string(root().join("docs/operations/entry-instance.md")).unwrap();
    let metrics = literals_after("crates/daemon/src/metrics/mod.rs", "registry.register(\"");
    assert!(!metrics.is_empty());
    for metric in metrics {
        assert!(page.contains(&format!("| `{metric}` |")), "metric {metric} is not on the page");
    }
    let flags = fs::read_to_string(root().join("crates/daemon/src/settings/flags.rs")).unwrap();
    let fields = flags.lines().filter_map(|line| line.trim().strip_prefix("pub "));
    let names = fields.filter_map(|field| field.split_once(':')).map(|(name, _)| name);
    let mut count = 0;
    for name in names {
        let flag = name.replace('_', "-");
        assert!(page.contains(&format!("| `--{flag}` |")), "flag --{flag} is not on the page");
        count += 1;
    }
    assert!(count > 0);
}

#[test]
fn jobs_page_documents_every_metric() {
    let page = fs::read_to_string(root().join("docs/operations/jobs.md")).unwrap();
    let source = fs::read_to_string(root().join("crates/node/src/metrics.rs")).unwrap();
    let calls = source.split("registry.register(\"").skip(1);
    let names: Vec<&str> = calls.filter_map(|rest| rest.split('"').next()).collect();
    assert!(names.len() >= 9, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("| `{name}` |")), "metric {name} is not on the page");
    }
}

#[test]
fn indexes_list_every_page() {
    let indexes =
        [("docs/operations", "docs/OPERATIONS.md"), ("docs/design", "docs/design/README.md")];
    for (folder, index) in indexes {
        let index = root().join(index);
        let listed: Vec<PathBuf> =
            links(&index).iter().map(|link| index.parent().unwrap().join(link)).collect();
        for page in pages(folder).into_iter().filter(|page| *page != index) {
            assert!(listed.contains(&page), "{} is not listed", page.display());
        }
    }
}
