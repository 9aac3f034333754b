//! A fixed number of threads for blocking work.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

type Job = Box<dyn FnOnce() + Send>;

/// Threads that take jobs in order; a cheap cloneable handle.
#[derive(Clone)]
pub struct WorkerPool {
    jobs: Sender<Job>,
}

impl WorkerPool {
    /// Starts `threads` threads of that name.
    ///
    /// # Errors
    /// Those of starting a thread.
    pub fn new(name: &str, threads: usize) -> std::io::Result<Self> {
        let (jobs, queue) = channel();
        let queue = Arc::new(Mutex::new(queue));
        for _ in 0..threads {
            let queue = queue.clone();
            std::thread::Builder::new()
                .name(name.into())
                .spawn(move || work(&queue))?;
        }
        Ok(Self { jobs })
    }

    /// Queues a job.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        // The threads end only with the last handle, so the queue is open.
        let _ = self.jobs.send(Box::new(job));
    }
}

fn work(queue: &Mutex<Receiver<Job>>) {
    loop {
        let job = queue.lock().expect("queue lock").recv();
        let Ok(job) = job else {
            return;
        };
        job();
    }
}
