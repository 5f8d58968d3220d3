package retry

import "testing"

// However many requests fail, retries stay a share of first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests = 1000
	b := NewBudget()
	retries := 0
	for range requests {
		b.First()
		for range 5 {
			if b.Allow() {
				retries++
			}
		}
	}
	if most := requests*perFirst + mostTokens; float64(retries) > most {
		t.Errorf("%d retries for %d requests, want at most %.0f", retries, requests, most)
	}
}

func TestDelayIsBounded(t *testing.T) {
	for retry := 1; retry < 50; retry++ {
		if d := Delay(retry); d <= 0 || d > 2*maxDelay {
			t.Errorf("retry %d waits %s", retry, d)
		}
	}
}
