// Package flight counts operations in flight and signals when none is left.
//
// # Usage
//
//	var counter flight.Counter
//	counter.Add()
//	defer counter.Done()
//	<-counter.Idle()
package flight

import "sync"

// Counter counts operations in flight. The zero value is ready to use. It is safe
// for concurrent use.
type Counter struct {
	mu      sync.Mutex
	count   int
	waiters []chan struct{}
}

// Add records the start of an operation.
func (c *Counter) Add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// Done records the end of an operation.
func (c *Counter) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count > 0 {
		return
	}
	for _, waiter := range c.waiters {
		close(waiter)
	}
	c.waiters = nil
}

// During counts work as one operation while it runs.
func (c *Counter) During(work func()) {
	c.Add()
	defer c.Done()
	work()
}

// Count returns the number of operations in flight.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Idle returns a channel that is closed once no operation is in flight.
func (c *Counter) Idle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiter := make(chan struct{})
	if c.count == 0 {
		close(waiter)
		return waiter
	}
	c.waiters = append(c.waiters, waiter)
	return waiter
}
