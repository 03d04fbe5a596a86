mod simulation;
use simulation::*;
fn hunt(n: usize, t: usize, plan: Plan, from: u64, count: u64) {
    let mut bad = 0;
    for seed in from..from + count {
        if let Err(broken) = play(Options::new(n, t, plan), seed) { bad += 1; if bad < 4 { println!("HUNT {plan:?} {n} {t} seed {seed}: {}", broken.chars().take(900).collect::<String>()); } }
    }
    println!("HUNT {plan:?} {n} {t} {from}+{count}: {bad} broken");
}
#[test] fn a() { hunt(3, 1, Plan::Wild, 100_000, 12_000) }
#[test] fn b() { hunt(3, 1, Plan::Ambush, 100_000, 6_000) }
#[test] fn c() { hunt(3, 1, Plan::Borne, 100_000, 4_000) }
#[test] fn d() { hunt(3, 1, Plan::Targets, 100_000, 8_000) }
#[test] fn e() { hunt(5, 2, Plan::Wild, 100_000, 5_000) }
#[test] fn f() { hunt(5, 2, Plan::Ambush, 100_000, 3_000) }
#[test] fn g() { hunt(5, 2, Plan::Borne, 100_000, 1_500) }
#[test] fn h() { hunt(5, 1, Plan::Targets, 100_000, 4_000) }
#[test] fn i() { hunt(4, 1, Plan::Wild, 100_000, 4_000) }
