//! What happens in time: requests, runs, answers and appends.

use super::*;

impl World {
    /// Lets time pass and everything that is due happen.
    pub(crate) fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((&(at, serial), _)) = self.items.first_key_value() {
            if at > until {
                break;
            }
            let Some(item) = self.items.remove(&(at, serial)) else { break };
            self.now = self.now.max(at);
            self.happen(item);
        }
        self.now = until;
    }

    pub(crate) fn happen(&mut self, item: Item) {
        match item {
            Item::Deliver(node, incarnation, event) => {
                if self.nodes[node].incarnation == incarnation {
                    self.event(node, event);
                }
            }
            Item::Tick(node, incarnation) => {
                let current = self.nodes[node].incarnation == incarnation;
                let due = self.nodes[node].next_tick.is_some_and(|next| next <= self.now);
                if current && due {
                    self.nodes[node].next_tick = None;
                    self.event(node, Event::Tick);
                }
            }
            Item::Write(request) => self.write(request),
            Item::Begin(request) => self.begin(request),
            Item::End(request) => self.end(request),
            Item::Expire(request) => self.answer(&request, Answer::Expired, Span::ZERO),
            Item::TakeOver { executor, node, in_progress } => {
                self.take_over(executor, node, in_progress);
            }
            Item::TakeKeys { shard, node } => {
                let node = if self.nodes[node].router.is_some() { node } else { self.any_live() };
                self.own_keys(shard, node);
            }
            Item::Append { node, incarnation, call, record } => {
                self.append(node, incarnation, call, record);
            }
        }
    }

    pub(crate) fn any_live(&self) -> usize {
        let live = (0..self.nodes.len()).find(|node| self.nodes[*node].router.is_some());
        live.expect("one node is always alive")
    }

    pub(crate) fn take_over(&mut self, executor: usize, node: usize, in_progress: InProgress) {
        if self.nodes[node].router.is_some() {
            return self.own(executor, node, in_progress);
        }
        let node = self.any_live();
        self.own(executor, node, InProgress::Unknown);
    }

    pub(crate) fn write(&mut self, request: Request) {
        let node = &mut self.nodes[request.node];
        if node.incarnation != request.incarnation || node.router.is_none() {
            return;
        }
        if node.paused {
            node.outbox.push(Item::Write(request));
            return;
        }
        let after = self.hop();
        self.sent_while.entry(request.executor).or_default().push(self.now);
        self.schedule(request.longest_run, Item::Expire(request.clone()));
        self.schedule(after, Item::Begin(request));
    }

    pub(crate) fn begin(&mut self, request: Request) {
        if self.strikes(self.faults.refuse) {
            return self.answer(&request, Answer::Refused, Span::from_ms(1));
        }
        let site = &mut self.sites[request.executor];
        site.running += 1;
        let running = site.running;
        self.note(|| format!("x{} runs c{}", request.executor, request.global));
        assert!(running <= self.slots, "{running} calls on executor {}", request.executor);
        let issued = self.issued.get_mut(&request.global).unwrap();
        issued.runs += 1;
        let not_run = matches!(issued.replies.first(), Some(Outcome::NotRun(_)));
        assert!(!not_run, "call {} runs after not run was told", request.global);
        assert!(issued.idempotent || issued.runs == 1, "call {} ran twice", request.global);
        if let Some(key) = issued.key {
            let first = self.key_runs.insert(key, self.now);
            assert!(first.is_none(), "key {key} ran twice");
        }
        let longest = LONGEST_RUN.as_ms();
        let run = match (self.faults.slow, self.scripted) {
            (true, _) => longest,
            (false, true) => longest / 5,
            (false, false) => self.rng.u64(1..longest / 4),
        };
        self.schedule(Span::from_ms(run), Item::End(request));
    }

    pub(crate) fn end(&mut self, request: Request) {
        self.sites[request.executor].running -= 1;
        let answer = match self.strikes(self.faults.lose_answers) {
            true if !self.scripted && self.rng.bool() => return,
            true => Answer::Unknown,
            false if self.faults.silent => return,
            false => Answer::Whole { status: 200 },
        };
        let after = self.hop();
        self.answer(&request, answer, after);
        if self.faults.duplicate_answers {
            self.answer(&request, Answer::Whole { status: 200 }, after);
        }
    }

    pub(crate) fn answer(&mut self, request: &Request, answer: Answer, after: Span) {
        let event = Event::Answered { call: request.call, attempt: request.attempt, answer };
        self.schedule(after, Item::Deliver(request.node, request.incarnation, event));
    }

    /// Cuts the connections of a node while their requests run.
    pub(crate) fn cut(&mut self, node: usize) {
        let running: Vec<Request> = self
            .items
            .values()
            .filter_map(|item| match item {
                Item::End(request) if request.node == node => Some(request.clone()),
                _ => None,
            })
            .collect();
        for request in running {
            self.answer(&request, Answer::Unknown, Span::ZERO);
        }
    }

    pub(crate) fn append(&mut self, node: usize, incarnation: u64, call: CallId, record: Record) {
        let (key, begun) = match &record {
            Record::Begun { key, .. } => (key, true),
            Record::Ended { key, .. } => (key, false),
        };
        let shard = key.shard(SHARDS).0;
        let fenced = self.key_owner.get(&shard) != Some(&(node, incarnation));
        let lasts = !fenced && !self.faults.store_down;
        if lasts {
            self.journal.entry(shard).or_default().push(record);
        }
        if !begun {
            return;
        }
        let event = match lasts && !self.faults.store_answers_lost {
            true => Event::KeyDurable { call },
            false if fenced && !self.faults.store_down => {
                Event::KeyRefused { call, refusal: Refusal::Fenced }
            }
            false => Event::KeyRefused { call, refusal: Refusal::Down },
        };
        let after = self.hop();
        self.schedule(after, Item::Deliver(node, incarnation, event));
    }
}
