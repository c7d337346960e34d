use super::*;

#[test]
fn equal_seeds_select_equal_calls_at_about_the_configured_rate() {
    let plan =
        |seed: u64| Plan::parse(&format!("seed={seed}, recv.short=0.1,send.short=0.1")).expect("valid plan");
    let failed_calls = |plan: &Plan, fault| {
        (0..10_000).filter(|call| plan.draw(fault, *call).is_some()).collect::<Vec<u64>>()
    };
    let first = failed_calls(&plan(1), Fault::ReceiveShort);
    assert_eq!(first, failed_calls(&plan(1), Fault::ReceiveShort));
    assert_ne!(first, failed_calls(&plan(2), Fault::ReceiveShort));
    assert_ne!(first, failed_calls(&plan(1), Fault::SendShort));
    assert!((900..1100).contains(&first.len()), "{}", first.len());
    assert!(failed_calls(&plan(1), Fault::SocketFailed).is_empty());
}

#[test]
fn each_fault_is_parsed_by_name_and_invalid_plans_are_rejected() {
    for (index, name) in FAULT_NAMES.iter().enumerate() {
        let plan = Plan::parse(&format!("{name}=1")).expect("valid plan");
        assert_eq!(plan.rates.iter().position(|rate| *rate == 1.0), Some(index), "{name}");
    }
    assert_eq!(
        Plan::parse("clock.step=-3600,clock.after=1.5")
            .map(|plan| (plan.clock_step_micros, plan.clock_step_after_micros)),
        Ok((-3_600_000_000, 1_500_000))
    );
    for text in ["recv", "recv.shrt=0.1", "recv.short=2", "recv.short=x", "seed=1.5", "recv.short=nan"] {
        assert!(Plan::parse(text).is_err(), "{text}");
    }
}
