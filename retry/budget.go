// Package retry bounds how much work is done again.
//
// A Budget lets retries be a share of recent first attempts, so that a fault
// that hits every request does not multiply the load.
//
// # Usage
//
//	budget := retry.NewBudget()
//	budget.First()
//	if budget.Allow() {
//		// try again
//	}
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	perFirst   = 0.2
	mostTokens = 20
	baseDelay  = 10 * time.Millisecond
	maxDelay   = 500 * time.Millisecond
)

// Budget counts what is left for retries. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: mostTokens} }

// First notes a first attempt, which earns a share of a retry.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(mostTokens, b.tokens+perFirst)
}

// Allow takes one retry out of the budget, false if there is none left.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delay returns a random pause before the given retry, counted from 1.
func Delay(retry int) time.Duration {
	most := min(maxDelay, baseDelay<<min(retry, 10))
	return rand.N(most) + time.Millisecond
}
