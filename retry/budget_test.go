package retry

import "testing"

// TestBudgetBoundsRetries checks that retries stay a fixed share of first attempts,
// however many requests fail.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests = 1000
	b := NewBudget()
	retries := 0
	for range requests {
		b.RecordFirst()
		for range 5 {
			if b.Allow() {
				retries++
			}
		}
	}
	if limit := requests*tokensPerFirstAttempt + maxTokens; float64(retries) > limit {
		t.Errorf("%d retries for %d requests, want at most %.0f", retries, requests, limit)
	}
}

func TestDelayIsBounded(t *testing.T) {
	for retry := 1; retry < 50; retry++ {
		if d := Delay(retry); d <= 0 || d > 2*maxDelay {
			t.Errorf("retry %d waits %s", retry, d)
		}
	}
}
