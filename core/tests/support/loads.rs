//! Loads of the model: kinds of calls, their rates, and what happens to slots and targets.

/// A kind of call.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    pub work: u64,
    pub objective: u64,
    pub deadline: u64,
    /// Share of all calls.
    pub share: f64,
}

/// A load; times in ms.
#[derive(Clone)]
pub struct Load {
    pub name: &'static str,
    pub kinds: Vec<Kind>,
    pub slots: usize,
    pub calls_per_second: f64,
    /// From when to when there are how many times more calls.
    pub burst: (u64, u64, f64),
    /// Whether neighbours make a quarter of the slots seven times slower for half a second each.
    pub noisy: bool,
    /// From when to when targets refuse this share of the calls.
    pub refusing: (u64, u64, f64),
    /// Callers that have waited for up to a second arrive within the first 100 ms.
    pub backlog: bool,
    /// When the calls are counted that the table shows.
    pub counted: (u64, u64),
}

fn kind(name: &'static str, priority: u32, times: [u64; 3], share: f64) -> Kind {
    let [work, objective, deadline] = times;
    Kind {
        name,
        priority,
        work,
        objective,
        deadline,
        share,
    }
}

impl Load {
    pub fn all() -> [Load; 3] {
        let a = Load {
            name: "a",
            kinds: vec![
                kind("lookup", 0, [200, 500, 2000], 0.5),
                kind("booking", 1, [260, 600, 2500], 0.35),
                kind("download", 2, [160, 1500, 2000], 0.15),
            ],
            slots: 24,
            calls_per_second: 65.0,
            burst: (3000, 8000, 2.0),
            noisy: true,
            refusing: (0, 0, 0.0),
            backlog: false,
            counted: (3000, 9000),
        };
        let b = Load {
            name: "b",
            kinds: vec![
                kind("toggle", 1, [200, 600, 2000], 0.25),
                kind("flag", 2, [160, 500, 1500], 0.75),
            ],
            slots: 60,
            calls_per_second: 80.0,
            burst: (0, 0, 1.0),
            noisy: false,
            refusing: (3000, 9000, 0.55),
            ..a.clone()
        };
        let c = Load {
            name: "c",
            kinds: a.kinds.clone(),
            slots: 24,
            refusing: (0, 0, 0.0),
            backlog: true,
            counted: (0, 2000),
            ..b.clone()
        };
        [a, b, c]
    }
}
