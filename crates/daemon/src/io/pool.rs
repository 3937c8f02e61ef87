//! A bounded thread pool that starts its threads on demand.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use crossbeam_channel::{Receiver, Sender, unbounded};

/// A blocking operation.
type Work = Box<dyn FnOnce() + Send>;

/// Runs blocking operations on a bounded number of threads.
///
/// Operations that find no idle thread are queued in order. The threads end when the
/// pool is dropped.
pub(crate) struct Pool {
    queue: Sender<Work>,
    queued: Receiver<Work>,
    name: &'static str,
    max_threads: usize,
    threads: usize,
    idle: Arc<AtomicUsize>,
}

impl Pool {
    /// Returns a pool of at most `max_threads` threads, each named `name`.
    pub(crate) fn new(name: &'static str, max_threads: usize) -> Self {
        let (queue, queued) = unbounded();
        Self { queue, queued, name, max_threads, threads: 0, idle: Arc::default() }
    }

    /// Queues `work` for a thread of the pool.
    pub(crate) fn run(&mut self, work: impl FnOnce() + Send + 'static) {
        let waiting = self.queued.len();
        let all_busy = self.idle.load(Ordering::Acquire) <= waiting;
        if all_busy && self.threads < self.max_threads {
            self.start_thread();
        }
        // Sending cannot fail: the pool itself holds a receiver.
        let _ = self.queue.send(Box::new(work));
    }

    fn start_thread(&mut self) {
        let queued = self.queued.clone();
        let idle = Arc::clone(&self.idle);
        let builder = thread::Builder::new().name(self.name.to_owned());
        let started = builder.spawn(move || {
            loop {
                idle.fetch_add(1, Ordering::AcqRel);
                let work = queued.recv();
                idle.fetch_sub(1, Ordering::AcqRel);
                match work {
                    Ok(work) => work(),
                    Err(_) => return,
                }
            }
        });
        if started.is_ok() {
            self.threads += 1;
        }
    }
}
