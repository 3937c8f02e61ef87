//! Conversions between the types of the task scheduler and the workers' protocol.

use bytes::Bytes;
use sycamorerill_clients::worker as platform;
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::{Incarnation, InstanceName};
use sycamorerill_core::model::Config;
use sycamorerill_core::rate::Share;
use sycamorerill_tasks::worker as tasks;

/// Fraction of a lease's term that an exchange may spend in transit.
const TRANSIT_FRACTION: f64 = 0.3;

/// Converts an exchange to the workers' protocol.
///
/// The scheduler counts a task's lease from the report on which the exchange is based,
/// but a worker counts it from the arrival of the exchange. The exchange therefore expires
/// after a fraction of the lease's term, and the term that is sent is shortened by the
/// same time.
pub(super) fn to_worker_exchange(
    owner: &InstanceName,
    exchange: &tasks::Exchange,
    config: &Config,
) -> platform::Exchange {
    let transit = config.policy.task_lease.scale(TRANSIT_FRACTION);
    let not_after =
        exchange.lease_base.map(|at| platform::ClockReading((at.time() + transit).as_ms()));
    let commands =
        exchange.commands.iter().map(|command| to_worker_command(command, transit, config));
    platform::Exchange {
        owner: owner.clone(),
        epoch: exchange.epoch,
        not_after,
        commands: commands.collect(),
    }
}

fn to_worker_command(
    command: &tasks::Command,
    transit: Span,
    config: &Config,
) -> platform::Command {
    match command.clone() {
        tasks::Command::Start { task, token: of, attempt, size, lease, class, resume_from } => {
            let declared = config.classes.get(&class);
            platform::Command::Start(platform::Start {
                task,
                attempt,
                token: to_worker_token(of),
                size,
                lease: lease.saturating_sub(transit),
                declared: declared.map_or(size, |class| class.size),
                run_time: declared.map_or(Span::ZERO, |class| class.run_time),
                checkpoint: declared.is_some_and(|class| class.checkpoint),
                service: declared.is_some_and(|class| class.service),
                class,
                resume_from: resume_from.map(|checkpoint| {
                    platform::Checkpoint::new(String::from_utf8_lossy(&checkpoint.0))
                }),
            })
        }
        tasks::Command::Renew { task, token: of, lease } => platform::Command::Renew {
            task,
            token: to_worker_token(of),
            lease: lease.saturating_sub(transit),
        },
        tasks::Command::Throttle { task, token: of, share } => {
            platform::Command::Throttle { task, token: to_worker_token(of), share: share.as_f64() }
        }
        tasks::Command::Checkpoint { task, token: of } => {
            platform::Command::Checkpoint { task, token: to_worker_token(of) }
        }
        tasks::Command::Stop { task, token: of, checkpoint } => {
            platform::Command::Stop { task, token: to_worker_token(of), checkpoint }
        }
        tasks::Command::Acknowledge { task, token: of } => {
            platform::Command::Ack { task, token: to_worker_token(of) }
        }
    }
}

fn to_worker_token(token: tasks::Token) -> platform::Token {
    platform::Token(token.as_u64())
}

/// Converts a worker's response to a report; `answers` is the number of the exchange.
pub(super) fn to_report(
    response: platform::Response,
    answers: u64,
    incarnation: Incarnation,
) -> tasks::Report {
    let at = tasks::Instant::new(incarnation, Time::from_ms(response.clock.0));
    tasks::Report {
        epoch: response.epoch,
        answers,
        at,
        size: response.report.size,
        tasks: response.report.tasks.into_iter().map(to_task_report).collect(),
    }
}

fn to_task_report(report: platform::TaskReport) -> tasks::TaskReport {
    let usage = report.usage.map(|usage| tasks::Usage {
        cpu: usage.size.cpu(),
        memory: usage.size.memory(),
        slowdown: usage.slowdown,
        age: usage.age,
    });
    tasks::TaskReport {
        task: report.task,
        token: tasks::Token::from_u64(report.token.0),
        attempt: report.attempt,
        size: report.size,
        class: report.class,
        phase: to_phase(report.state, report.share),
        usage,
    }
}

fn to_phase(state: platform::State, share: f64) -> tasks::Phase {
    match state {
        platform::State::Running => tasks::Phase::Running,
        platform::State::Throttled => tasks::Phase::Throttled(Share::new(share)),
        platform::State::Checkpointing => tasks::Phase::Checkpointing,
        platform::State::Checkpointed { checkpoint } => {
            let name = Bytes::copy_from_slice(checkpoint.as_str().as_bytes());
            tasks::Phase::Checkpointed(tasks::Checkpoint(name))
        }
        platform::State::Finished => tasks::Phase::Finished,
        platform::State::Failed { reason } => tasks::Phase::Failed(to_fault(&reason)),
        platform::State::Stopped => tasks::Phase::Stopped,
        platform::State::LeaseLapsed => tasks::Phase::Lapsed,
    }
}

fn to_fault(reason: &str) -> tasks::Fault {
    if reason.contains("memory") {
        return tasks::Fault::Memory;
    }
    if reason.contains("checkpoint") {
        return tasks::Fault::Resume;
    }
    if reason.contains("worker") {
        return tasks::Fault::Start;
    }
    tasks::Fault::Exit
}
