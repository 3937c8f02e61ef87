//! A bounded pool of threads that starts threads as they are needed.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crossbeam_channel::{Receiver, Sender, unbounded};

/// One blocking exchange.
type Job = Box<dyn FnOnce() + Send>;

/// Threads that run blocking exchanges, at most a given number at one time.
///
/// Further exchanges wait in order. Threads end when the pool is dropped.
pub(crate) struct Pool {
    jobs: Sender<Job>,
    waiting: Receiver<Job>,
    name: &'static str,
    most: usize,
    threads: usize,
    idle: Arc<AtomicUsize>,
}

impl Pool {
    /// Returns a pool of at most `most` threads with the given name.
    pub(crate) fn new(name: &'static str, most: usize) -> Self {
        let (jobs, waiting) = unbounded();
        Self { jobs, waiting, name, most, threads: 0, idle: Arc::default() }
    }

    /// Runs `job` on a thread of the pool.
    pub(crate) fn run(&mut self, job: impl FnOnce() + Send + 'static) {
        let queued = self.waiting.len();
        let short = self.idle.load(Ordering::Acquire) <= queued;
        if short && self.threads < self.most {
            self.start_thread();
        }
        // The pool holds a receiver, so the channel is connected.
        let _ = self.jobs.send(Box::new(job));
    }

    fn start_thread(&mut self) {
        let waiting = self.waiting.clone();
        let idle = Arc::clone(&self.idle);
        let builder = thread::Builder::new().name(self.name.to_owned());
        let started = builder.spawn(move || {
            loop {
                idle.fetch_add(1, Ordering::AcqRel);
                let job = waiting.recv();
                idle.fetch_sub(1, Ordering::AcqRel);
                match job {
                    Ok(job) => job(),
                    Err(_) => return,
                }
            }
        });
        if started.is_ok() {
            self.threads += 1;
        }
    }
}
