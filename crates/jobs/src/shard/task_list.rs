//! Tasks of a step, which take memory only once one of them has changed.
//!
//! Load pattern: jobs of up to 100,000 tasks that wait for an executor, for good if none can run
//! them. All of their tasks are alike.

use std::ops::Range;

use super::entry::Task;

/// State of a task that has not changed since its step began.
static UNCHANGED: Task = Task::new();

/// Tasks of a step.
#[derive(Debug)]
pub(super) struct TaskList {
    count: u32,
    /// All tasks, or none while all are unchanged.
    tasks: Vec<Task>,
}

impl TaskList {
    /// Returns `count` unchanged tasks.
    pub(super) const fn new(count: u32) -> Self {
        Self { count, tasks: Vec::new() }
    }

    /// Returns the number of tasks.
    pub(super) const fn len(&self) -> u32 {
        self.count
    }

    /// Returns a task by its index.
    pub(super) fn get(&self, index: u32) -> Option<&Task> {
        (index < self.count).then(|| self.tasks.get(index as usize).unwrap_or(&UNCHANGED))
    }

    /// Returns a task that may be changed by its index.
    pub(super) fn get_mut(&mut self, index: u32) -> Option<&mut Task> {
        if index < self.count && self.tasks.is_empty() {
            self.tasks.resize_with(self.count as usize, Task::new);
        }
        self.tasks.get_mut(index as usize)
    }

    /// Returns all tasks with their indices.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..self.count).filter_map(|index| Some((index, self.get(index)?)))
    }

    /// Returns the tasks with their indices, or none if all are unchanged.
    pub(super) fn changed(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..).zip(&self.tasks)
    }

    /// Returns the tasks in a range of indices, or none if all are unchanged.
    pub(super) fn changed_in(&self, range: Range<u32>) -> impl Iterator<Item = (u32, &Task)> {
        let covered = self.tasks.get(range.start as usize..range.end as usize);
        range.zip(covered.into_iter().flatten())
    }

    /// Returns the tasks, which may be changed, with their indices, or none if all are unchanged.
    pub(super) fn changed_mut(&mut self) -> impl Iterator<Item = (u32, &mut Task)> {
        (0..).zip(&mut self.tasks)
    }
}
