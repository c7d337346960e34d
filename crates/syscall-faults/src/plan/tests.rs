use super::*;

#[test]
fn the_same_seed_fails_the_same_calls_at_about_the_rate() {
    let plan =
        |seed: u64| Plan::read(&format!("seed={seed}, recv.short=0.1,send.short=0.1")).expect("it reads");
    let failed = |plan: &Plan, fault| {
        (0..10_000).filter(|call| plan.draw(fault, *call).is_some()).collect::<Vec<u64>>()
    };
    let first = failed(&plan(1), Fault::ReceiveShort);
    assert_eq!(first, failed(&plan(1), Fault::ReceiveShort));
    assert_ne!(first, failed(&plan(2), Fault::ReceiveShort));
    assert_ne!(first, failed(&plan(1), Fault::SendShort));
    assert!((900..1100).contains(&first.len()), "{}", first.len());
    assert!(failed(&plan(1), Fault::SocketFailed).is_empty());
}

#[test]
fn each_fault_is_read_by_its_name_and_what_is_none_is_refused() {
    for (place, name) in NAMES.iter().enumerate() {
        let plan = Plan::read(&format!("{name}=1")).expect("it reads");
        assert_eq!(plan.rates.iter().position(|rate| *rate == 1.0), Some(place), "{name}");
    }
    assert_eq!(
        Plan::read("clock.step=-3600,clock.after=1.5").map(|plan| (plan.step_by, plan.step_after)),
        Ok((-3_600_000_000, 1_500_000))
    );
    for text in ["recv", "recv.shrt=0.1", "recv.short=2", "recv.short=x", "seed=1.5", "recv.short=nan"] {
        assert!(Plan::read(text).is_err(), "{text}");
    }
}
