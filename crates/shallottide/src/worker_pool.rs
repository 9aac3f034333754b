//! Thread pool for blocking work.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

type Job = Box<dyn FnOnce() + Send>;

/// A fixed number of threads that take jobs from one queue in order; cheap to clone.
#[derive(Clone)]
pub struct WorkerPool {
    jobs: Sender<Job>,
}

impl WorkerPool {
    /// Starts `threads` threads named `name`.
    ///
    /// # Errors
    /// If a thread can't be started.
    pub fn new(name: &str, threads: usize) -> std::io::Result<Self> {
        let (jobs, queue) = channel();
        let queue = Arc::new(Mutex::new(queue));
        for _ in 0..threads {
            let queue = queue.clone();
            std::thread::Builder::new()
                .name(name.into())
                .spawn(move || run_jobs(&queue))?;
        }
        Ok(Self { jobs })
    }

    /// Queues a job; the queue is unbounded.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        // The threads run until the last handle is dropped, so the queue is open.
        let _ = self.jobs.send(Box::new(job));
    }
}

fn run_jobs(queue: &Mutex<Receiver<Job>>) {
    loop {
        let job = queue.lock().expect("queue lock").recv();
        let Ok(job) = job else {
            return;
        };
        job();
    }
}
