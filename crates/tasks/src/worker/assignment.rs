//! What is known of one task on one worker.

use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Attempt, ClassName, TaskName};
use sycamorerill_core::rate::Share;
use sycamorerill_core::size::{Cpu, Memory, Size};

use super::{Checkpoint, Command, Phase, Token, Usage};
use crate::cell::key;

/// What the owner wants of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Intent {
    /// Run at a share of its processor time.
    Run(Share),
    /// Write a checkpoint and take the task off.
    Checkpoint,
    /// Take the task off.
    Stop,
}

/// One token on one worker, from the decision to start it until it is forgotten there.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    pub(crate) task: key::Task,
    pub(crate) name: TaskName,
    pub(crate) class: key::Class,
    pub(crate) team: key::Team,
    pub(crate) class_name: ClassName,
    pub(crate) attempt: Attempt,
    pub(crate) size: Size,
    /// Processor time in use at full share, the reserved one until it was measured.
    pub(crate) cpu: Cpu,
    /// Whether the size counts as reserved on the worker.
    pub(crate) is_reserved: bool,
    pub(crate) resume_from: Option<Checkpoint>,
    /// Number of the first exchange that carries the start.
    pub(crate) first_exchange: u64,
    /// Whether the placement was learned from the worker.
    pub(crate) adopted: bool,
    pub(crate) phase: Option<Phase>,
    pub(crate) intent: Intent,
    /// Whether the command for the intent has been sent.
    pub(crate) command_sent: bool,
    /// When the task was placed or adopted.
    pub(crate) placed_at: Time,
    pub(crate) usage: Option<Usage>,
    /// Whether the worker may forget the task once it is off.
    pub(crate) ack_allowed: bool,
}

impl Assignment {
    /// Returns the memory in use, the reserved one until it was measured.
    pub(crate) fn memory(&self) -> Memory {
        self.usage.as_ref().map_or(self.size.memory(), |usage| usage.memory)
    }

    pub(crate) fn is_inactive(&self) -> bool {
        self.phase.as_ref().is_some_and(Phase::is_inactive)
    }

    /// Reports whether the task runs on the worker and is to go on, or to be checkpointed.
    pub(crate) fn needs_renewal(&self) -> bool {
        self.phase.is_some() && !self.is_inactive() && self.intent != Intent::Stop
    }

    /// Returns the command that brings the worker closer to the intent, if any.
    pub(crate) fn command(&self, token: Token, lease: Span) -> Option<Command> {
        let task = self.name.clone();
        let Some(phase) = &self.phase else {
            return Some(self.start(token, lease));
        };
        if phase.is_inactive() {
            return self.ack_allowed.then_some(Command::Ack { task, token });
        }
        match (self.intent, phase) {
            (Intent::Run(share), Phase::Running) if share.part() < 1.0 => {
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
