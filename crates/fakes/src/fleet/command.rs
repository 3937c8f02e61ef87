//! Commands on tasks that a worker holds.

use sycamorerill_clients::worker::{Command, Refusal, Start, State, Token};
use sycamorerill_core::clock::{Span, Time};
use sycamorerill_core::id::TaskName;

use super::task::Task;
use super::worker::Worker;

/// Carries out a command other than a start, and returns the placement that it stopped.
pub(crate) fn carry_out(
    worker: &mut Worker,
    now: Time,
    checkpoint_time: Span,
    command: &Command,
) -> Result<Option<Start>, Refusal> {
    match command {
        Command::Start(_) => Err(Refusal::NotHeld),
        Command::Renew { task, token, lease } => {
            running(worker, task, *token).map(|task| task.lease_until = now + *lease)
        }
        Command::RenewAll { lease } => {
            renew_all(worker, now, *lease);
            Ok(())
        }
        Command::Throttle { task, token, share } => {
            running(worker, task, *token).map(|task| throttle(task, *share))
        }
        Command::Checkpoint { task, token } => {
            begin_checkpoint(worker, now, checkpoint_time, task, *token)
        }
        Command::Stop { task, token, checkpoint } => {
            return stop(worker, now, checkpoint_time, task, *token, *checkpoint);
        }
        Command::Ack { task, token } => forget(worker, task, *token),
    }?;
    Ok(None)
}

/// Returns the task of the placement, running or ended.
fn held<'a>(
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

/// Returns the task of the placement, which must run.
fn running<'a>(
    worker: &'a mut Worker,
    task: &TaskName,
    token: Token,
) -> Result<&'a mut Task, Refusal> {
    let found = held(worker, task, token)?;
    if found.runs() { Ok(found) } else { Err(Refusal::Ended) }
}

fn renew_all(worker: &mut Worker, now: Time, lease: Span) {
    for task in worker.tasks.values_mut().filter(|task| task.runs()) {
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
    let task = held(worker, task, token)?;
    match task.state {
        State::Checkpointing | State::Checkpointed { .. } => return Ok(()),
        _ if !task.runs() => return Err(Refusal::Ended),
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
    let found = held(worker, task, token)?;
    match found.state {
        State::Stopped => return Ok(None),
        State::Checkpointed { .. } if checkpoint => return Ok(None),
        _ if !found.runs() => return Err(Refusal::Ended),
        _ => {}
    }
    if checkpoint && found.start.checkpoint {
        begin_checkpoint(worker, now, checkpoint_time, task, token)?;
        return Ok(None);
    }
    found.end(now, State::Stopped);
    Ok(Some(found.start.clone()))
}

fn forget(worker: &mut Worker, task: &TaskName, token: Token) -> Result<(), Refusal> {
    match held(worker, task, token) {
        Ok(found) if found.runs() => Err(Refusal::Running),
        Ok(_) => {
            worker.tasks.remove(task);
            Ok(())
        }
        Err(Refusal::NotHeld) => Ok(()),
        Err(refusal) => Err(refusal),
    }
}
