//! Executes commands on the tasks of a worker.

use sycamorerill_clients::worker::{Command, Refusal, Start, State, Token};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::TaskName;

use super::task::Task;
use super::worker::Worker;

/// Executes a command other than a start.
///
/// Returns the start of the task that the command stopped without a checkpoint, if any.
pub(crate) fn execute(
    worker: &mut Worker,
    now: Time,
    checkpoint_time: Span,
    command: &Command,
) -> Result<Option<Start>, Refusal> {
    match command {
        Command::Start(_) => Err(Refusal::NotHeld),
        Command::Renew { task, token, lease } => {
            find_running_task(worker, task, *token).map(|task| task.lease_until = now + *lease)
        }
        Command::RenewAll { lease } => {
            renew_all(worker, now, *lease);
            Ok(())
        }
        Command::Throttle { task, token, share } => {
            find_running_task(worker, task, *token).map(|task| throttle(task, *share))
        }
        Command::Checkpoint { task, token } => {
            begin_checkpoint(worker, now, checkpoint_time, task, *token)
        }
        Command::Stop { task, token, checkpoint } => {
            return stop(worker, now, checkpoint_time, task, *token, *checkpoint);
        }
        Command::Ack { task, token } => acknowledge(worker, task, *token),
    }?;
    Ok(None)
}

/// Returns the task, running or ended, if it was started with the token.
fn find_task<'a>(
    worker: &'a mut Worker,
    task: &TaskName,
    token: Token,
) -> Result<&'a mut Task, Refusal> {
    let found = worker.tasks.get_mut(task).ok_or(Refusal::NotHeld)?;
    if found.start.token != token {
        return Err(Refusal::Held { token: found.start.token });
    }
    Ok(found)
}

/// Returns the task if it was started with the token and is running.
fn find_running_task<'a>(
    worker: &'a mut Worker,
    task: &TaskName,
    token: Token,
) -> Result<&'a mut Task, Refusal> {
    let found = find_task(worker, task, token)?;
    if found.is_running() { Ok(found) } else { Err(Refusal::Ended) }
}

fn renew_all(worker: &mut Worker, now: Time, lease: Span) {
    for task in worker.tasks.values_mut().filter(|task| task.is_running()) {
        task.lease_until = now + lease;
    }
}

fn throttle(task: &mut Task, share: f64) {
    task.share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 1.0 };
    if matches!(task.state, State::Running | State::Throttled) {
        task.state = if task.share < 1.0 { State::Throttled } else { State::Running };
    }
}

fn begin_checkpoint(
    worker: &mut Worker,
    now: Time,
    checkpoint_time: Span,
    task: &TaskName,
    token: Token,
) -> Result<(), Refusal> {
    let task = find_task(worker, task, token)?;
    match task.state {
        State::Checkpointing | State::Checkpointed { .. } => return Ok(()),
        _ if !task.is_running() => return Err(Refusal::Ended),
        _ if !task.start.checkpoint => return Err(Refusal::NoCheckpoint),
        _ => {}
    }
    task.state = State::Checkpointing;
    task.checkpoint_due = Some(now + checkpoint_time);
    Ok(())
}

fn stop(
    worker: &mut Worker,
    now: Time,
    checkpoint_time: Span,
    task: &TaskName,
    token: Token,
    checkpoint: bool,
) -> Result<Option<Start>, Refusal> {
    let found = find_task(worker, task, token)?;
    match found.state {
        State::Stopped => return Ok(None),
        State::Checkpointed { .. } if checkpoint => return Ok(None),
        _ if !found.is_running() => return Err(Refusal::Ended),
        _ => {}
    }
    if checkpoint && found.start.checkpoint {
        begin_checkpoint(worker, now, checkpoint_time, task, token)?;
        return Ok(None);
    }
    found.end(now, State::Stopped);
    Ok(Some(found.start.clone()))
}

fn acknowledge(worker: &mut Worker, task: &TaskName, token: Token) -> Result<(), Refusal> {
    match find_task(worker, task, token) {
        Ok(found) if found.is_running() => Err(Refusal::Running),
        Ok(_) => {
            worker.tasks.remove(task);
            Ok(())
        }
        Err(Refusal::NotHeld) => Ok(()),
        Err(refusal) => Err(refusal),
    }
}
