//! Clients that send requests at a steady rate, and what became of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use crate::client::{Answer, Request, Unanswered, exchange};
use crate::record::Record;

pub const HOST: &str = "depot.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A client attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub is_booking: bool,
    pub machine: String,
    pub sent_at: Instant,
    pub outcome: Option<Result<Answer, Unanswered>>,
}

/// Running clients.
pub struct Traffic {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    task: JoinHandle<()>,
}

impl Traffic {
    /// Sends requests at a rate to the machines in turn; of seven, five are bookings.
    pub fn start(
        machines: Vec<(String, SocketAddr)>,
        per_second: f64,
        budget: Duration,
        record: &Record,
    ) -> Self {
        let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
        let (all, record) = (attempts.clone(), record.clone());
        let task = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
            let mut number = 0_usize;
            loop {
                ticks.tick().await;
                number += 1;
                let (machine, front) = machines[number % machines.len()].clone();
                let is_booking = number % 7 < 5;
                let request = if is_booking {
                    Request::new("POST", HOST, "/book/2f")
                } else {
                    Request::new("GET", HOST, "/stock/2f")
                };
                let mut request = request
                    .header("Deadline-Ms", &budget.as_millis().to_string())
                    .header("X-Api-Key", KEY);
                if is_booking {
                    request.body = vec![b'b'; 600];
                }
                let (all, record) = (all.clone(), record.clone());
                tokio::spawn(async move {
                    let sent_at = Instant::now();
                    let index = {
                        let mut all = all.lock().expect("no panic while locked");
                        all.push(Attempt {
                            id: request.id.clone(),
                            is_booking,
                            machine: machine.clone(),
                            sent_at,
                            outcome: None,
                        });
                        all.len() - 1
                    };
                    let kind = if is_booking { "booking" } else { "lookup" };
                    let id = &request.id;
                    record.line_at(sent_at, &format!("client sends {kind} {id} to {machine}"));
                    let outcome = exchange(front, &request, budget).await;
                    let text = match &outcome {
                        Ok(answer) => format!("{} stamp {:?}", answer.status, answer.stamp),
                        Err(error) => format!("no answer: {error:?}"),
                    };
                    record.line(&format!("client got for {id}: {text}"));
                    all.lock().expect("no panic while locked")[index].outcome = Some(outcome);
                });
            }
        });
        Self { attempts, task }
    }

    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("no panic while locked").clone()
    }

    pub fn stop(&self) {
        self.task.abort();
    }
}
