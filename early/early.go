// Package early receives the signals of the process from its first milliseconds to its exit.
//
// By their default action signals would end a process that is starting or stopping. This
// package depends on little, so that it is initialised before most others. It never gives a
// signal back. Where cgo is available it ignores SIGHUP even before the Go runtime starts.
//
// # Usage
//
//	for received := range early.Hangups() { ... }
package early

import (
	"os"
	"os/signal"
	"syscall"
)

// stopSignals are the signals whose default action in a Go program ends it, without SIGHUP.
// A fault of the program itself still ends it: the runtime hands over only those that
// another process sends.
var stopSignals = []os.Signal{
	syscall.SIGINT, syscall.SIGTERM, syscall.SIGQUIT, syscall.SIGABRT, syscall.SIGILL, syscall.SIGTRAP, syscall.SIGBUS,
	syscall.SIGFPE, syscall.SIGSEGV, syscall.SIGSTKFLT, syscall.SIGSYS,
}

// The signals are received before the package's functions can be called. SIGHUP comes last: it
// is ignored before, so that its handler shows that all are received.
var (
	hangupIgnored = ignoredAtStart()
	stops         = receive(stopSignals...)
	hangups       = receive(syscall.SIGHUP)
)

// A write to a closed pipe fails then, also one to the standard output.
func init() { signal.Ignore(syscall.SIGPIPE) }

// receive begins to receive signals. Those that nobody has taken count as one.
func receive(signals ...os.Signal) <-chan os.Signal {
	channel := make(chan os.Signal, 1)
	signal.Notify(channel, signals...)
	return channel
}

// Hangups returns the channel that receives SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// Stops returns the channel that receives all other signals that would end the process.
func Stops() <-chan os.Signal { return stops }

// HangupIgnored reports whether the process was started with SIGHUP ignored, as by nohup.
func HangupIgnored() bool { return hangupIgnored }
