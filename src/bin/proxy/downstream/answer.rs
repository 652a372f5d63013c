//! Answers each request, and says whether its caller's connection is kept.

use super::Front;
use super::reply::{Reply, closing, plain, write};
use crate::body::Flow;
use crate::counters::Record;
use crate::engine::{Answer, Incoming};
use crate::io::{Client, Progress};
use crate::upstream::Served;
use hyper::body::{Body, Incoming as Inflow};
use hyper::header::EXPECT;
use hyper::{Request, StatusCode};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

impl Front {
    pub(super) async fn answer(
        &self,
        request: Request<Inflow>,
        crowded: bool,
        seen: &Progress,
        client: &Rc<Client>,
    ) -> Result<Reply, Infallible> {
        let taking = || self.lifecycle.phase().takes();
        let expects = request.headers().contains_key(EXPECT);
        let has_body = !request.body().is_end_stream();
        let ready = self.engine.ready() && taking();
        let ready = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let asks_ready = request.uri().path() == "/health/ready";
        let read = async {
            if asks_ready { Err(Box::new(plain(ready))) } else { self.read(request, seen, client).await }
        };
        let mut reply = match read.await {
            // What of its body was not read would be taken for the next request.
            Err(reply) if has_body => closing(*reply),
            Err(reply) => *reply,
            // Places are held by callers at rest too: what is refused is work past what can be carried.
            Ok((_, record)) if crowded && self.engine.owed() >= self.own() => {
                write(Answer::Refused { retry_after: None }, record)
            }
            Ok((incoming, record)) => self.decide(incoming, record, expects, seen, client).await,
        };
        // Those who ask once and stay would soon hold every place: as places run short, none is kept.
        if 2 * self.open.get() > self.own() || !taking() || client.spilt() {
            reply = closing(reply);
        }
        Ok(reply)
    }

    /// Waits for the answer. `expects` tells that the caller sends its body only once it is asked to.
    async fn decide(
        &self,
        incoming: Incoming,
        mut record: Record,
        expects: bool,
        seen: &Progress,
        client: &Client,
    ) -> Reply {
        let (rest, received) = (incoming.call.rest.clone(), incoming.received);
        // What flows for long has no end before the kill: for a late request it would be an answer begun and lost.
        let in_time = |answer: Answer, whole: Instant| match answer {
            Answer::Served(Served { rest: Some(_), .. }) if self.lifecycle.late(whole) => Answer::TimedOut,
            answer => answer,
        };
        let mut answer = pin!(self.engine.decide(incoming));
        client.is_at(rest.is_none());
        let left = async {
            client.leaves().await;
            Answer::Broken
        };
        let Some(rest) = rest else {
            let answer = tokio::select! { biased; answer = answer => answer, answer = left => answer };
            return write(in_time(answer, received), record);
        };
        let answer = async {
            tokio::select! {
                answer = &mut answer => answer,
                flow = rest.settled() => {
                    if flow != Flow::Broken {
                        client.is_at(true);
                        seen.await_head();
                        record.taken();
                    }
                    answer.await
                }
            }
        };
        let answer = tokio::select! { biased; answer = answer => answer, answer = left => answer };
        let answer = match rest.state() {
            Flow::Whole(at) => in_time(answer, at),
            _ => answer,
        };
        let unread = if matches!(answer, Answer::Served(_)) { None } else { rest.withdraw() };
        match unread {
            // It was not asked for, and its caller may well not send it.
            Some(_) if expects && !rest.passed() => closing(write(answer, record)),
            // Closed with its body unread, the caller's connection would be reset and the answer lost.
            Some(flow) => {
                spawn_local(flow.drain());
                write(answer, record)
            }
            None => write(answer, record),
        }
    }
}
