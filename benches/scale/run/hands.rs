//! The driver's handle of a worker: a process, or a thread where a test has no program to start.

use super::error::{Error, Result};
use super::order::{Answer, Order};
use super::sample::Sample;
use super::worker;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A worker.
pub enum Hands {
    /// A process.
    Process(Box<Mutex<Piped>>),
    /// A thread of this process.
    Thread(Mutex<(UnboundedSender<Order>, UnboundedReceiver<Answer>)>),
}

/// A worker process and its pipes; it ends when they do.
pub struct Piped {
    child: Child,
    orders: ChildStdin,
    answers: Lines<BufReader<ChildStdout>>,
}

impl Hands {
    /// This program again, as a worker.
    pub fn process() -> Result<Hands> {
        let failed = |source| Error::Process { what: "a worker".into(), source };
        let program = std::env::current_exe().map_err(failed)?;
        let mut command = Command::new(program);
        command.arg("--worker").stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(failed)?;
        let pipes = child.stdin.take().zip(child.stdout.take());
        let (orders, answers) = pipes.ok_or_else(|| silent("has no pipes"))?;
        let answers = BufReader::new(answers).lines();
        Ok(Hands::Process(Box::new(Mutex::new(Piped { child, orders, answers }))))
    }

    /// A thread.
    pub fn thread() -> Hands {
        let (send, orders) = unbounded_channel();
        let (tell, answers) = unbounded_channel();
        std::thread::spawn(move || {
            // It ends when its driver is gone.
            worker::serve(orders, |answer| tell.send(answer).map_err(std::io::Error::other))
        });
        Hands::Thread(Mutex::new((send, answers)))
    }

    /// Carries out an order.
    pub async fn order(&self, order: &Order) -> Result<Answer> {
        match self {
            Hands::Process(piped) => piped.lock().await.order(order).await,
            Hands::Thread(thread) => {
                let (orders, answers) = &mut *thread.lock().await;
                orders.send(order.clone()).map_err(|_| silent("has ended"))?;
                answers.recv().await.ok_or_else(|| silent("has ended"))
            }
        }
    }

    /// What it has taken; nothing of its own where it is a thread.
    pub async fn sample(&self) -> Result<Sample> {
        match self {
            Hands::Process(piped) => Sample::of(piped.lock().await.child.id().unwrap_or_default()),
            Hands::Thread(_) => Ok(Sample::default()),
        }
    }
}

impl Piped {
    async fn order(&mut self, order: &Order) -> Result<Answer> {
        let failed = |source| Error::Process { what: "a worker".into(), source };
        let mut line = serde_json::to_vec(order).map_err(|e| silent(&e.to_string()))?;
        line.push(b'\n');
        self.orders.write_all(&line).await.map_err(failed)?;
        let answer = self.answers.next_line().await.map_err(failed)?;
        let answer = answer.ok_or_else(|| silent("has ended"))?;
        serde_json::from_str(&answer).map_err(|e| silent(&e.to_string()))
    }
}

fn silent(said: &str) -> Error {
    Error::Said { what: "a worker".into(), said: said.into() }
}
