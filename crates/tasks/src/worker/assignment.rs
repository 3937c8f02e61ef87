//! The assignment of a task to a worker.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, ClassName, TaskName};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Cpu, Memory, Size};

use super::{Checkpoint, Command, Phase, Token, Usage};
use crate::cell::key;

/// The state to which the owner brings a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Intent {
    /// Run the task at a share of its reserved processor time.
    Run(Share),
    /// Write a checkpoint and stop the task.
    Checkpoint,
    /// Stop the task without a checkpoint.
    Stop,
}

/// A placement of a task under one token, kept until the worker no longer reports it.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) task: key::Task,
    pub(crate) name: TaskName,
    pub(crate) class: key::Class,
    pub(crate) team: key::Team,
    pub(crate) class_name: ClassName,
    pub(crate) attempt: Attempt,
    pub(crate) size: Size,
    /// Processor time used at full share; the reserved amount until it is measured.
    pub(crate) cpu: Cpu,
    /// Whether the size counts towards the reserved capacity of the worker.
    pub(crate) is_reserved: bool,
    pub(crate) resume_from: Option<Checkpoint>,
    /// Number of the first exchange that contains the start command; 0 until it is sent, and
    /// 1 for an adopted task.
    pub(crate) first_exchange: u64,
    /// Whether a former owner made the placement and the worker reported it.
    pub(crate) adopted: bool,
    pub(crate) phase: Option<Phase>,
    /// When a report first listed the task as started by this owner.
    pub(crate) first_reported_at: Option<Time>,
    /// Whether the task is not tried again once it has left the worker.
    pub(crate) is_given_up: bool,
    pub(crate) intent: Intent,
    /// Whether a command for the current intent was sent.
    pub(crate) command_sent: bool,
    /// When the task was placed by this owner or adopted.
    pub(crate) placed_at: Time,
    pub(crate) usage: Option<Usage>,
    /// Whether the task may be acknowledged once it is inactive.
    pub(crate) acknowledge_allowed: bool,
}

impl Assignment {
    /// Returns the memory in use, or the reserved amount until it is measured.
    pub(crate) fn memory(&self) -> Memory {
        self.usage.as_ref().map_or(self.size.memory(), |usage| usage.memory)
    }

    pub(crate) fn is_inactive(&self) -> bool {
        self.phase.as_ref().is_some_and(Phase::is_inactive)
    }

    /// Returns whether the lease is renewed: the task is active and not being stopped.
    pub(crate) fn needs_renewal(&self) -> bool {
        self.phase.is_some() && !self.is_inactive() && self.intent != Intent::Stop
    }

    /// Returns the command that moves the reported phase towards the intent, if one is needed.
    pub(crate) fn command(&self, token: Token, lease: Span) -> Option<Command> {
        let task = self.name.clone();
        let Some(phase) = &self.phase else {
            return Some(self.start(token, lease));
        };
        if phase.is_inactive() {
            return self.acknowledge_allowed.then_some(Command::Acknowledge { task, token });
        }
        match (self.intent, phase) {
            (Intent::Run(share), Phase::Running) if share.as_f64() < 1.0 => {
                Some(Command::Throttle { task, token, share })
            }
            (Intent::Run(share), Phase::Throttled(at)) if *at != share => {
                Some(Command::Throttle { task, token, share })
            }
            (Intent::Checkpoint, Phase::Running | Phase::Throttled(_)) => {
                Some(Command::Checkpoint { task, token })
            }
            (Intent::Stop, _) => Some(Command::Stop { task, token, checkpoint: false }),
            _ => None,
        }
    }

    fn start(&self, token: Token, lease: Span) -> Command {
        let task = self.name.clone();
        if self.intent == Intent::Stop {
            return Command::Stop { task, token, checkpoint: false };
        }
        Command::Start {
            task,
            token,
            attempt: self.attempt,
            size: self.size,
            lease,
            class: self.class_name.clone(),
            resume_from: self.resume_from.clone(),
        }
    }
}
