use super::*;

#[tokio::test(start_paused = true)]
async fn a_list_expires_only_while_discovery_answers_slowly() {
    let start = Instant::now();
    let mut freshness = ListFreshness::new(start);
    assert_eq!(freshness.expires_at(), None);
    freshness.record_slow_answer();
    assert_eq!(freshness.expires_at(), Some(start + MAX_NEWS_AGE));
    freshness.record_unreachable();
    assert_eq!(freshness.expires_at(), None);
    freshness.record_slow_answer();
    let answered_at = start + Duration::from_secs(1);
    freshness.record_answer(answered_at, Pace::Normal);
    assert_eq!(freshness.expires_at(), None);
}

/// The age of a slow answer counts from its beginning, and an answer that was overtaken is no news.
#[tokio::test(start_paused = true)]
async fn the_age_of_a_list_counts_from_the_beginning_of_its_latest_answer() {
    let (first, second) = (Instant::now(), Instant::now() + Duration::from_secs(2));
    let mut freshness = ListFreshness::new(first);
    freshness.record_answer(second, Pace::Slow);
    freshness.record_answer(first, Pace::Normal);
    assert_eq!(freshness.expires_at(), Some(second + MAX_NEWS_AGE));
}
