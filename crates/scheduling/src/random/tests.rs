use super::*;

#[test]
fn equal_seeds_give_equal_fractions_between_zero_and_one() {
    let (mut first, mut second) = (RandomSource::new(7), RandomSource::new(7));
    let mut sum = 0.0;
    for _ in 0..1000 {
        let fraction = first.next_fraction();
        assert_eq!(fraction, second.next_fraction());
        assert!((0.0..1.0).contains(&fraction));
        sum += fraction;
    }
    assert!((450.0..550.0).contains(&sum), "the mean should be one half but is {}", sum / 1000.0);
}
