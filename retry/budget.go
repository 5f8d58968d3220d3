// Package retry limits how many retries are made.
//
// A Budget limits retries to a share of recent first attempts, so that a fault
// that affects every request does not multiply the load.
//
// # Usage
//
//	budget := retry.NewBudget()
//	budget.RecordFirst()
//	if budget.Allow() {
//		// retry the request
//	}
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	tokensPerFirstAttempt = 0.2
	maxTokens             = 20
	baseDelay             = 10 * time.Millisecond
	maxDelay              = 500 * time.Millisecond
)

// Budget is a token bucket for retries: each retry takes one token. It is safe
// for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// RecordFirst records a first attempt, which adds a fraction of a token.
func (b *Budget) RecordFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+tokensPerFirstAttempt)
}

// Allow takes one token for a retry. It returns false if none is left.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Delay returns the random pause before a retry, numbered from 1. It is at
// least 1 ms; its upper bound doubles with each retry up to about maxDelay.
func Delay(retry int) time.Duration {
	limit := min(maxDelay, baseDelay<<min(retry, 10))
	return rand.N(limit) + time.Millisecond
}
