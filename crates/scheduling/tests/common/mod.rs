//! What the tests share: settings, workers, requests, and a driver that keeps score of the rules.
#![allow(dead_code, missing_docs)]

use vetchbridge_scheduling::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: 500 * MS,
        stretch: 2.0,
        deadline: 5 * S,
        worth: 1.0,
        late_share: 0.3,
        effect,
        kind: None,
        priority: 0,
        stream: false,
    }
}

pub const SAFE: u32 = 0;
pub const KEYED_ALL: u32 = 1;
pub const KEYED_CELL: u32 = 2;
pub const UNSAFE: u32 = 3;
pub const BOUND: u32 = 4;

/// One class for each effect, and a safe one bound to machine kind 1.
pub fn settings() -> Settings {
    let window = 2 * S;
    let mut bound = class(Effect::Safe);
    bound.kind = Some(KindId(1));
    Settings {
        me: 0,
        dispatchers: 1,
        zone: ZoneId(0),
        classes: vec![
            class(Effect::Safe),
            class(Effect::Keyed { group: RepeatGroup::All, window }),
            class(Effect::Keyed { group: RepeatGroup::Cell, window }),
            class(Effect::Unsafe),
            bound,
        ],
        tenants: vec![],
        over_share_worth: 0.1,
        worth_by_work: false,
        discovery: Discovery::Push,
        report_via: ReportVia::Answers,
        weights: Weights::Size,
        queue_order: QueueOrder::Fifo,
        tells_start: false,
        progress_every: 0,
        limits: Limits {
            max_attempts: 4,
            dial_timeout: 250 * MS,
            second_copies: false,
            may_probe: false,
            may_cancel: true,
            retry_after: true,
            max_retry_after: 2 * S,
            may_message_peers: false,
        },
        rules: Rules {
            answer_slack: 8 * MS,
            drain_grace: 500 * MS,
            ask_within: None,
            cold_share: 0.25,
            cold_time: 10 * S,
            fall_multiple: 3.0,
            fall_time: S,
        },
        prices: Prices::default(),
        tick: 2 * MS,
    }
}

pub fn member(n: u64) -> Member {
    Member {
        worker: WorkerId(n),
        zone: ZoneId((n % 3) as u32),
        kind: KindId((n % 2) as u32),
        cell: CellId((n / 4) as u32),
        state: MemberState::Ready,
        units: 1.0,
        born: 0,
    }
}

pub fn list(kind: ListKind, members: impl IntoIterator<Item = Member>) -> Event {
    Event::Members { kind, members: members.into_iter().collect() }
}

pub fn fleet(n: u64) -> Event {
    list(ListKind::Full, (1..=n).map(member))
}

pub fn request(id: u64, class: u32, key: &str, due: Micros) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: TenantId(0),
        key: Some(key.to_string()),
        due,
        expected_work: None,
        slots: 1.0,
        retry: false,
    }
}

pub fn outcome(id: u64, attempt: u32, worker: WorkerId, status: Status) -> Event {
    Event::Outcome {
        request: RequestId(id),
        attempt: AttemptNo(attempt),
        worker,
        status,
        latency: 5 * MS,
        closed: status == Status::Ok,
        load: None,
    }
}

pub struct Driver {
    pub policy: Policy,
    pub now: Micros,
}

impl Driver {
    pub fn new(settings: Settings) -> Driver {
        Driver { policy: Policy::new(settings, 1).expect("the test's settings are sound"), now: 100 * S }
    }

    pub fn with_fleet(settings: Settings, n: u64) -> Driver {
        let mut driver = Driver::new(settings);
        driver.event(fleet(n));
        driver
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions
    }

    pub fn at(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.now = now;
        self.event(event)
    }

    pub fn request(&mut self, id: u64, class: u32, key: &str) -> Vec<Action> {
        let due = self.now + 5 * S;
        self.event(Event::Request(request(id, class, key, due)))
    }
}

pub fn sends(actions: &[Action]) -> Vec<WorkerId> {
    let send = |a: &Action| if let Action::Send { worker, .. } = a { Some(*worker) } else { None };
    actions.iter().filter_map(send).collect()
}

pub fn sent(actions: &[Action]) -> WorkerId {
    let all = sends(actions);
    assert_eq!(all.len(), 1, "one attempt expected in {actions:?}");
    all[0]
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn timers(actions: &[Action]) -> Vec<(Micros, TimerToken)> {
    let timer = |a: &Action| if let Action::SetTimer { at, token } = a { Some((*at, *token)) } else { None };
    actions.iter().filter_map(timer).collect()
}
