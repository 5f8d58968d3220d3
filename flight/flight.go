// Package flight counts work in flight and tells when there is none.
//
// # Usage
//
//	var counter flight.Counter
//	counter.Add()
//	defer counter.Done()
//	<-counter.Idle()
package flight

import "sync"

// Counter counts work in flight. The zero value counts none. It is safe for
// concurrent use.
type Counter struct {
	mu      sync.Mutex
	n       int
	waiters []chan struct{}
}

// Add counts one more.
func (c *Counter) Add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// Done counts one less.
func (c *Counter) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n > 0 {
		return
	}
	for _, waiter := range c.waiters {
		close(waiter)
	}
	c.waiters = nil
}

// During counts one more for as long as work runs.
func (c *Counter) During(work func()) {
	c.Add()
	defer c.Done()
	work()
}

// Count returns how much is in flight.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// Idle returns a channel that is closed once nothing is in flight.
func (c *Counter) Idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiter := make(chan struct{})
	if c.n == 0 {
		close(waiter)
		return waiter
	}
	c.waiters = append(c.waiters, waiter)
	return waiter
}
