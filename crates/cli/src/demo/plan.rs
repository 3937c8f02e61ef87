//! What the demonstration plays, from its arguments.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sycamorerill_core::clock::Span;
use sycamorerill_fakes::{Deployment as Sizes, ServiceTime, Settings};

use crate::commands::demo::{Args, Deployment};
use crate::load;

/// How many times faster than declared tasks run.
const SPEED_UP: f64 = 30.0;
/// Part of the run at which the flood begins.
pub(super) const FLOOD_BEGINS: f64 = 0.65;
/// Part of the run at which the flood ends.
pub(super) const FLOOD_ENDS: f64 = 0.78;
/// Callers of the flood; each sends its next call when the last has ended.
const FLOOD_CALLERS: u32 = 900;
/// Jobs submitted over the run.
const JOBS: u32 = 60;

/// Files of a built-in configuration folder.
type Files = &'static [(&'static str, &'static str)];

macro_rules! files {
    ($folder:literal) => {
        files!(
            $folder,
            "10-teams.toml",
            "20-domains.toml",
            "30-services.toml",
            "40-classes.toml",
            "50-targets.toml",
            "60-policy.toml",
        )
    };
    ($folder:literal, $($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../../../../examples/", $folder, "/", $name)))),*]
    };
}

const ROPES: Files = files!("ropes");
const HEATERS: Files = files!("heaters");

/// A class of which jobs are submitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    /// Class of the job.
    pub(super) class: &'static str,
    /// Team of the job.
    pub(super) team: &'static str,
    /// Tasks of the job.
    pub(super) tasks: u32,
    /// Whether a target counts the job's deadline.
    pub(super) target: bool,
}

/// What the demonstration plays.
#[derive(Debug)]
pub(super) struct Plan {
    /// Seed of the load and the faults.
    pub(super) seed: u64,
    /// Length of the run.
    pub(super) length: Duration,
    /// Failure domains in the order of their cells.
    pub(super) domains: Vec<String>,
    /// Service that is called.
    pub(super) service: &'static str,
    /// Time within which the target wants the answer.
    pub(super) within: Span,
    /// Jobs that are submitted, in turn.
    pub(super) work: &'static [Work],
    /// Number of jobs.
    pub(super) jobs: u32,
    sizes: Sizes,
    files: Files,
}

impl Plan {
    /// Returns the plan for the arguments.
    pub(super) fn new(args: &Args) -> Self {
        let (sizes, files) = match args.deployment {
            Deployment::Ropes => (Sizes::ropes(), ROPES),
            Deployment::Heaters => (Sizes::heaters(), HEATERS),
        };
        let (service, within, work): (_, _, &[Work]) = match args.deployment {
            Deployment::Ropes => ("orders", Span::from_ms(600), &ROPES_WORK),
            Deployment::Heaters => ("booking", Span::from_ms(300), &HEATERS_WORK),
        };
        Self {
            seed: args.seed,
            length: Duration::from_secs(args.seconds.max(5)),
            domains: sizes.domains.iter().map(|domain| domain.name.clone()).collect(),
            service,
            within,
            work,
            jobs: JOBS,
            sizes,
            files,
        }
    }

    /// Returns the files of the configuration.
    pub(super) fn files(&self) -> Vec<(String, String)> {
        let owned = |(name, text): &(&str, &str)| ((*name).to_owned(), (*text).to_owned());
        self.files.iter().map(owned).collect()
    }

    /// Returns the settings of the stand-ins.
    pub(super) fn stand_ins(&self) -> Settings {
        let time = ServiceTime { median: Span::from_ms(40), tail: 3.0 };
        let times = self.service.parse().map(|service| BTreeMap::from([(service, time)]));
        Settings {
            seed: self.seed,
            deployment: self.sizes.clone(),
            speedup: SPEED_UP,
            list_lag: Span::from_secs(1),
            service_times: times.unwrap_or_default(),
            ..Settings::default()
        }
    }

    /// Returns what the callers do at entry instances with these callers' addresses.
    pub(super) fn load(&self, instances: Vec<SocketAddr>) -> load::Settings {
        load::Settings {
            instances,
            service: self.service.to_owned(),
            within: self.within,
            seed: self.seed,
            length: self.length,
            flood: FLOOD_CALLERS,
            flood_begins: self.at(FLOOD_BEGINS),
            flood_ends: self.at(FLOOD_ENDS),
            ..load::Settings::default()
        }
    }

    /// Returns an instant of the run as a part of its length.
    pub(super) fn at(&self, part: f64) -> Duration {
        self.length.mul_f64(part)
    }
}

const ROPES_WORK: [Work; 3] = [
    Work { class: "cut-list", team: "warehouse", tasks: 4, target: true },
    Work { class: "packing-slip", team: "warehouse", tasks: 10, target: true },
    Work { class: "knot-pattern", team: "patterns", tasks: 2, target: true },
];

const HEATERS_WORK: [Work; 2] = [
    Work { class: "route-plan", team: "depots", tasks: 4, target: true },
    Work { class: "route-plan", team: "depots", tasks: 8, target: true },
];
