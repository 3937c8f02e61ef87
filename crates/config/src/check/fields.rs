//! Every key that a section takes.

use crate::key::Section;

/// What a key takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Name of an entry of the section.
    Reference(Section),
    /// Name of the entry itself.
    Name,
    /// Span of time longer than zero.
    Span,
    /// Whole number, zero included.
    Count,
    /// Whole number larger than zero.
    Positive,
    Cpu,
    Memory,
    Accel,
    Rate,
    Share,
    Amount,
    Urgency,
    Flag,
}

impl Kind {
    /// Returns what the key takes, in words.
    pub(super) const fn expected(self) -> &'static str {
        match self {
            Self::Reference(_) | Self::Name => "a name in quotes",
            Self::Span => "a span of time such as \"250ms\" or \"24h\"",
            Self::Count => "a whole number",
            Self::Positive => "a whole number larger than zero",
            Self::Cpu => "a number of cores such as 4 or \"250m\"",
            Self::Memory => "a memory size such as \"4GiB\" or \"512MiB\"",
            Self::Accel => "a number of accelerators",
            Self::Rate => "a rate such as \"20/s\"",
            Self::Share => "a share such as \"95%\"",
            Self::Amount => "an amount such as \"12.50\"",
            Self::Urgency => "\"low\", \"normal\", \"high\" or \"urgent\"",
            Self::Flag => "true or false",
        }
    }
}

/// When a key must be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    Always,
    /// In a class whose tasks end.
    Ending,
    /// When another key of its table is set.
    Whole,
    Never,
}

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) kind: Kind,
    pub(super) need: Need,
}

const fn needed(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, need: Need::Always }
}

const fn optional(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, need: Need::Never }
}

const fn ending(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, need: Need::Ending }
}

const fn whole(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, need: Need::Whole }
}

const SERVICE: &[Field] = &[
    needed("team", Kind::Reference(Section::Team)),
    optional("urgency", Kind::Urgency),
    optional("idempotent", Kind::Flag),
    needed("deadline", Kind::Span),
    needed("longest_run", Kind::Span),
    optional("slots", Kind::Positive),
    optional("max_body", Kind::Memory),
    optional("key_retention", Kind::Span),
    needed("rate", Kind::Rate),
];

const CLASS: &[Field] = &[
    needed("size.cpu", Kind::Cpu),
    needed("size.memory", Kind::Memory),
    optional("size.accel", Kind::Accel),
    ending("run_time", Kind::Span),
    ending("deadline", Kind::Span),
    optional("urgency", Kind::Urgency),
    optional("checkpoint", Kind::Flag),
    optional("attempts", Kind::Positive),
    optional("service", Kind::Flag),
];

const TEAM: &[Field] = &[
    optional("weight", Kind::Positive),
    needed("quota.cpu", Kind::Cpu),
    needed("quota.memory", Kind::Memory),
    optional("quota.accel", Kind::Accel),
    optional("borrow", Kind::Flag),
];

const TARGET: &[Field] = &[
    optional("service", Kind::Reference(Section::Service)),
    optional("within", Kind::Span),
    optional("class", Kind::Reference(Section::Class)),
    optional("share", Kind::Share),
    needed("penalty", Kind::Amount),
];

const DOMAIN: &[Field] = &[
    needed("workers", Kind::Count),
    needed("worker.cpu", Kind::Cpu),
    needed("worker.memory", Kind::Memory),
    optional("worker.accel", Kind::Accel),
    optional("rack", Kind::Positive),
    needed("executors", Kind::Count),
];

const POLICY: &[Field] = &[
    optional("retry_budget", Kind::Share),
    optional("eviction_budget", Kind::Share),
    optional("size_margin", Kind::Share),
    optional("task_lease", Kind::Span),
    optional("max_queue", Kind::Positive),
];

const JOB: &[Field] = &[
    optional("name", Kind::Name),
    needed("class", Kind::Reference(Section::Class)),
    needed("team", Kind::Reference(Section::Team)),
    optional("urgency", Kind::Urgency),
    needed("tasks", Kind::Positive),
    optional("deadline", Kind::Span),
    whole("size.cpu", Kind::Cpu),
    whole("size.memory", Kind::Memory),
    optional("size.accel", Kind::Accel),
    optional("run_time", Kind::Span),
];

/// Returns the keys of a section.
pub(super) const fn of(section: Section) -> &'static [Field] {
    match section {
        Section::Service => SERVICE,
        Section::Class => CLASS,
        Section::Team => TEAM,
        Section::Target => TARGET,
        Section::Domain => DOMAIN,
        Section::Policy => POLICY,
        Section::Job => JOB,
    }
}

/// Returns the key of a section by its name.
pub(super) fn find(section: Section, name: &str) -> Option<&'static Field> {
    of(section).iter().find(|field| field.name == name)
}
