//! The fields of each section, with their types and requirements.

use crate::key::Section;

/// Type of the value of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Name of an entry of the given section.
    Reference(Section),
    /// Name of the job itself.
    Name,
    /// Span of time greater than zero.
    Span,
    /// Whole number, zero included.
    Count,
    /// Whole number greater than zero.
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
    /// Returns a description of the accepted values, used in error messages.
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

/// Condition under which a field must be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requirement {
    Always,
    /// The field is required in a class whose tasks end, which has no `service = true`.
    UnlessService,
    /// The field is required if any field of the same table is set.
    WithSiblings,
    Optional,
}

/// Name, type and requirement of one field of a section.
#[derive(Clone, Copy, Debug)]
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) kind: Kind,
    pub(super) requirement: Requirement,
}

const fn required(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, requirement: Requirement::Always }
}

const fn optional(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, requirement: Requirement::Optional }
}

const fn required_unless_service(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, requirement: Requirement::UnlessService }
}

const fn required_with_siblings(name: &'static str, kind: Kind) -> Field {
    Field { name, kind, requirement: Requirement::WithSiblings }
}

const SERVICE: &[Field] = &[
    required("team", Kind::Reference(Section::Team)),
    optional("urgency", Kind::Urgency),
    optional("idempotent", Kind::Flag),
    required("deadline", Kind::Span),
    required("longest_run", Kind::Span),
    optional("slots", Kind::Positive),
    optional("max_body", Kind::Memory),
    optional("key_retention", Kind::Span),
    required("rate", Kind::Rate),
];

const CLASS: &[Field] = &[
    required("size.cpu", Kind::Cpu),
    required("size.memory", Kind::Memory),
    optional("size.accel", Kind::Accel),
    required_unless_service("run_time", Kind::Span),
    required_unless_service("deadline", Kind::Span),
    optional("urgency", Kind::Urgency),
    optional("checkpoint", Kind::Flag),
    optional("attempts", Kind::Positive),
    optional("service", Kind::Flag),
];

const TEAM: &[Field] = &[
    optional("weight", Kind::Positive),
    required("quota.cpu", Kind::Cpu),
    required("quota.memory", Kind::Memory),
    optional("quota.accel", Kind::Accel),
    optional("borrow", Kind::Flag),
];

const TARGET: &[Field] = &[
    optional("service", Kind::Reference(Section::Service)),
    optional("within", Kind::Span),
    optional("class", Kind::Reference(Section::Class)),
    optional("share", Kind::Share),
    required("penalty", Kind::Amount),
];

const DOMAIN: &[Field] = &[
    required("workers", Kind::Count),
    required("worker.cpu", Kind::Cpu),
    required("worker.memory", Kind::Memory),
    optional("worker.accel", Kind::Accel),
    optional("rack", Kind::Positive),
    required("executors", Kind::Count),
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
    required("class", Kind::Reference(Section::Class)),
    required("team", Kind::Reference(Section::Team)),
    optional("urgency", Kind::Urgency),
    required("tasks", Kind::Positive),
    optional("deadline", Kind::Span),
    required_with_siblings("size.cpu", Kind::Cpu),
    required_with_siblings("size.memory", Kind::Memory),
    optional("size.accel", Kind::Accel),
    optional("run_time", Kind::Span),
];

/// Returns the fields of a section.
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

/// Returns the field of a section with the given name.
pub(super) fn find(section: Section, name: &str) -> Option<&'static Field> {
    of(section).iter().find(|field| field.name == name)
}
