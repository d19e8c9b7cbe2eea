//! Processor time of the messages about allowances, without the transport.

use std::{hint, time};

use prost::Message;
use wagtailshunt_core::{
    allowance::{Ask, Bound, Grantor, Holder, Question, WorkspaceId},
    routing::Allowance,
    time::Instant,
};
use wagtailshunt_wire::{fleet, generated::fleet as wire};

const ROUNDS: u32 = 200_000;

fn print(name: &str, mut f: impl FnMut(u32)) {
    let started = time::Instant::now();
    (0..ROUNDS).for_each(&mut f);
    println!("{name}: {:?}", started.elapsed() / ROUNDS);
}

/// Prints the figures of docs/design/allowances.md.
#[test]
#[ignore = "prints figures"]
fn figures() {
    let names: Vec<String> = (0..72).map(|i| format!("workspace-{i}")).collect();
    let limit = Allowance {
        calls_per_second: 1e7,
        burst: 1e7,
    };
    let allowances = || names.iter().map(|name| (name.as_str(), &limit));
    let mut grantor = Grantor::new(Bound::default());
    grantor.configure(Instant(0), allowances());
    grantor.start(Instant(0), time::Duration::ZERO);
    for workspaces in [1, 5] {
        let asks = names.iter().take(workspaces).map(|name| Ask {
            workspace: WorkspaceId::of(name),
            needed: 1,
            ahead: 0,
        });
        let question = Question {
            number: 1 << 60,
            asks: asks.collect(),
        };
        let bytes = fleet::encode_allowance_question(&question).encode_to_vec();
        println!(
            "question with {workspaces} workspaces: {} bytes",
            bytes.len()
        );
        print("leader, decode, grant and encode", |round| {
            let question = wire::AllowanceQuestion::decode(&bytes[..]).unwrap();
            let now = Instant(u64::from(round) * 1000);
            let answers = fleet::decode_asks(&question).map(|ask| grantor.grant(now, &ask));
            let answer = fleet::encode_allowance_answers(question.number, answers);
            hint::black_box(answer.encode_to_vec());
        });
    }
    let mut holder = Holder::new(Bound::default(), 0);
    let small = Allowance {
        calls_per_second: 0.001,
        burst: 0.0,
    };
    let refused = || names.iter().map(|name| (name.as_str(), &small));
    holder.configure(refused());
    holder.set_leader(Some(wagtailshunt_core::types::VmId(1)));
    let id = WorkspaceId::of("workspace-7");
    holder.take(Instant(0), id);
    let (to, question) = holder.poll_question(Instant(0)).unwrap();
    let wait = Some(time::Duration::from_secs(3600));
    let answer = wagtailshunt_core::allowance::Answer {
        wait,
        ..Default::default()
    };
    holder.answered(Instant(0), to, question.number, &[answer]);
    print("VM, local refusal", |round| {
        hint::black_box(holder.take(Instant(u64::from(round)), id));
    });
}
