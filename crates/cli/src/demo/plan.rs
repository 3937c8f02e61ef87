//! Plan of the demonstration: load, jobs, deployment and configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use sycamorerill_core::clock::Span;
use sycamorerill_fakes::{Deployment as StandInDeployment, ServiceTime, Settings};

use crate::commands::demo::{Args, Deployment};
use crate::load;

/// Factor by which tasks run faster than their declared run times.
const TASK_SPEEDUP: f64 = 30.0;
/// Start of the flood, as a fraction of the run.
pub(super) const FLOOD_BEGINS: f64 = 0.65;
/// End of the flood, as a fraction of the run.
pub(super) const FLOOD_ENDS: f64 = 0.78;
/// Number of callers in the flood; each sends its next call after the previous one has ended.
const FLOOD_CALLERS: u32 = 900;
/// Number of jobs submitted over the run.
const JOB_COUNT: u32 = 60;

/// Names and contents of the files in a built-in configuration folder.
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

const ROPES_FILES: Files = files!("ropes");
const HEATERS_FILES: Files = files!("heaters");

/// Template of submitted jobs.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobTemplate {
    /// Class of the job, declared in the configuration.
    pub(super) class: &'static str,
    /// Team that owns the job, declared in the configuration.
    pub(super) team: &'static str,
    /// Number of tasks in the job.
    pub(super) tasks: u32,
    /// Whether a missed deadline of the job counts as a missed target.
    pub(super) has_target: bool,
}

/// Parameters of one run of the demonstration.
#[derive(Debug)]
pub(super) struct Plan {
    /// Seed of the load and the faults.
    pub(super) seed: u64,
    /// Length of the run, at least 5 seconds.
    pub(super) length: Duration,
    /// Names of the failure domains, in the order of their cells.
    pub(super) domains: Vec<String>,
    /// Service that is called.
    pub(super) service: &'static str,
    /// Latency that the target of the service allows.
    pub(super) within: Span,
    /// Templates of the submitted jobs, used in rotation.
    pub(super) templates: &'static [JobTemplate],
    /// Number of submitted jobs.
    pub(super) jobs: u32,
    deployment: StandInDeployment,
    files: Files,
}

impl Plan {
    /// Returns the plan for the arguments.
    pub(super) fn new(args: &Args) -> Self {
        let (deployment, files) = match args.deployment {
            Deployment::Ropes => (StandInDeployment::ropes(), ROPES_FILES),
            Deployment::Heaters => (StandInDeployment::heaters(), HEATERS_FILES),
        };
        let (service, within, templates): (_, _, &[JobTemplate]) = match args.deployment {
            Deployment::Ropes => ("orders", Span::from_ms(600), &ROPES_JOBS),
            Deployment::Heaters => ("booking", Span::from_ms(300), &HEATERS_JOBS),
        };
        Self {
            seed: args.seed,
            length: Duration::from_secs(args.seconds.max(5)),
            domains: deployment.domains.iter().map(|domain| domain.name.clone()).collect(),
            service,
            within,
            templates,
            jobs: JOB_COUNT,
            deployment,
            files,
        }
    }

    /// Returns the files of the configuration.
    pub(super) fn files(&self) -> Vec<(String, String)> {
        let owned = |(name, text): &(&str, &str)| ((*name).to_owned(), (*text).to_owned());
        self.files.iter().map(owned).collect()
    }

    pub(super) fn stand_in_settings(&self) -> Settings {
        let time = ServiceTime { median: Span::from_ms(40), p99_ratio: 3.0 };
        let times = self.service.parse().map(|service| BTreeMap::from([(service, time)]));
        Settings {
            seed: self.seed,
            deployment: self.deployment.clone(),
            speedup: TASK_SPEEDUP,
            list_lag: Span::from_secs(1),
            service_times: times.unwrap_or_default(),
            ..Settings::default()
        }
    }

    /// Returns the settings of the callers, for entry instances with the given caller addresses.
    pub(super) fn load_settings(&self, instances: Vec<SocketAddr>) -> load::Settings {
        load::Settings {
            instances,
            service: self.service.to_owned(),
            within: self.within,
            seed: self.seed,
            length: self.length,
            flood_callers: FLOOD_CALLERS,
            flood_begins: self.offset(FLOOD_BEGINS),
            flood_ends: self.offset(FLOOD_ENDS),
            ..load::Settings::default()
        }
    }

    /// Returns the time from the start of the run to the given fraction of its length.
    pub(super) fn offset(&self, fraction: f64) -> Duration {
        self.length.mul_f64(fraction)
    }
}

const ROPES_JOBS: [JobTemplate; 3] = [
    JobTemplate { class: "cut-list", team: "warehouse", tasks: 4, has_target: true },
    JobTemplate { class: "packing-slip", team: "warehouse", tasks: 10, has_target: true },
    JobTemplate { class: "knot-pattern", team: "patterns", tasks: 2, has_target: true },
];

const HEATERS_JOBS: [JobTemplate; 2] = [
    JobTemplate { class: "route-plan", team: "depots", tasks: 4, has_target: true },
    JobTemplate { class: "route-plan", team: "depots", tasks: 8, has_target: true },
];
