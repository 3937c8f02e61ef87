//! Scheduled actions: requests, runs, answers and appends.

use super::*;

impl Cluster {
    /// Advances the time by `span` and performs all actions that become due.
    pub(crate) fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while let Some((&(at, serial), _)) = self.pending.first_key_value() {
            if at > until {
                break;
            }
            let Some(action) = self.pending.remove(&(at, serial)) else { break };
            self.now = self.now.max(at);
            self.perform(action);
        }
        self.now = until;
    }

    pub(crate) fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver(instance, incarnation, event) => {
                if self.instances[instance].incarnation == incarnation {
                    self.event(instance, event);
                }
            }
            Action::Tick(instance, incarnation) => {
                let current = self.instances[instance].incarnation == incarnation;
                let due = self.instances[instance].next_tick.is_some_and(|next| next <= self.now);
                if current && due {
                    self.instances[instance].next_tick = None;
                    self.event(instance, Event::Tick);
                }
            }
            Action::Write(request) => self.write(request),
            Action::Begin(request) => self.begin(request),
            Action::End(request) => self.end(request),
            Action::Expire(request) => self.answer(&request, SendOutcome::TimedOut, Span::ZERO),
            Action::TakeOver { executor, instance, in_progress } => {
                self.take_over(executor, instance, in_progress);
            }
            Action::TakeKeys { shard, instance } => {
                let instance = if self.instances[instance].router.is_some() {
                    instance
                } else {
                    self.any_live()
                };
                self.assign_keys(shard, instance);
            }
            Action::Append { instance, incarnation, call, record } => {
                self.append(instance, incarnation, call, record);
            }
        }
    }

    pub(crate) fn any_live(&self) -> usize {
        let live =
            (0..self.instances.len()).find(|instance| self.instances[*instance].router.is_some());
        live.expect("one instance is always alive")
    }

    pub(crate) fn take_over(&mut self, executor: usize, instance: usize, in_progress: InProgress) {
        if self.instances[instance].router.is_some() {
            return self.assign_executor(executor, instance, in_progress);
        }
        let instance = self.any_live();
        self.assign_executor(executor, instance, InProgress::Unknown);
    }

    pub(crate) fn write(&mut self, request: Request) {
        let instance = &mut self.instances[request.instance];
        if instance.incarnation != request.incarnation || instance.router.is_none() {
            return;
        }
        if instance.paused {
            instance.outbox.push(Action::Write(request));
            return;
        }
        let after = self.network_delay();
        self.send_times.entry(request.executor).or_default().push(self.now);
        self.schedule(request.longest_run, Action::Expire(request.clone()));
        self.schedule(after, Action::Begin(request));
    }

    pub(crate) fn begin(&mut self, request: Request) {
        if self.fault_occurs(self.faults.refuse) {
            return self.answer(&request, SendOutcome::Refused, Span::from_ms(1));
        }
        let target = &mut self.executors[request.executor];
        target.running += 1;
        let running = target.running;
        self.log_line(|| format!("x{} runs c{}", request.executor, request.global_id));
        assert!(running <= self.slots, "{running} calls on executor {}", request.executor);
        let issued = self.issued.get_mut(&request.global_id).unwrap();
        issued.runs += 1;
        let not_run = matches!(issued.replies.first(), Some(Outcome::NotRun(_)));
        assert!(!not_run, "call {} runs after the reply was not run", request.global_id);
        assert!(issued.idempotent || issued.runs == 1, "call {} ran twice", request.global_id);
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
        self.schedule(Span::from_ms(run), Action::End(request));
    }

    pub(crate) fn end(&mut self, request: Request) {
        self.executors[request.executor].running -= 1;
        let answer = match self.fault_occurs(self.faults.lose_answers) {
            true if !self.scripted && self.rng.bool() => return,
            true => SendOutcome::Unknown,
            false if self.faults.silent => return,
            false => SendOutcome::Complete { status: 200 },
        };
        let after = self.network_delay();
        self.answer(&request, answer, after);
        if self.faults.duplicate_answers {
            self.answer(&request, SendOutcome::Complete { status: 200 }, after);
        }
    }

    pub(crate) fn answer(&mut self, request: &Request, answer: SendOutcome, after: Span) {
        let event = Event::Answered { call: request.call, attempt: request.attempt, answer };
        self.schedule(after, Action::Deliver(request.instance, request.incarnation, event));
    }

    /// Closes the connections of an instance to the executors while its requests run.
    pub(crate) fn disconnect(&mut self, instance: usize) {
        let running: Vec<Request> = self
            .pending
            .values()
            .filter_map(|action| match action {
                Action::End(request) if request.instance == instance => Some(request.clone()),
                _ => None,
            })
            .collect();
        for request in running {
            self.answer(&request, SendOutcome::Unknown, Span::ZERO);
        }
    }

    pub(crate) fn append(
        &mut self,
        instance: usize,
        incarnation: u64,
        call: CallId,
        record: Record,
    ) {
        let (key, begun) = match &record {
            Record::Begun { key, .. } => (key, true),
            Record::Ended { key, .. } => (key, false),
        };
        let shard = key.shard(SHARDS).0;
        let fenced = self.key_owner.get(&shard) != Some(&(instance, incarnation));
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
                Event::KeyNotDurable { call, error: KeyRecordError::Fenced }
            }
            false => Event::KeyNotDurable { call, error: KeyRecordError::Unavailable },
        };
        let after = self.network_delay();
        self.schedule(after, Action::Deliver(instance, incarnation, event));
    }
}
