package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

// stopSignals are the signals that stop the program gracefully.
var stopSignals = []os.Signal{syscall.SIGINT, syscall.SIGTERM}

type (
	// signals receives the signals of the process. It never returns them to their default
	// action: that would end a process that is stopping.
	signals struct {
		hangups, stops chan os.Signal
	}

	// stopError is the cause of a context that a signal has ended.
	stopError struct{ signal os.Signal }
)

// Error names the signal.
func (e *stopError) Error() string { return fmt.Sprintf("stopped by signal: %v", e.signal) }

// catchSignals begins to receive signals, for as long as the process runs.
func catchSignals() *signals {
	s := &signals{hangups: make(chan os.Signal, 1), stops: make(chan os.Signal, 1)}
	signal.Notify(s.hangups, syscall.SIGHUP)
	signal.Notify(s.stops, stopSignals...)
	return s
}

// stopContext returns a context that the first stop signal cancels. Later ones change
// nothing.
func (s *signals) stopContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case received := <-s.stops:
			cancel(&stopError{signal: received})
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// cancelOnHangup makes SIGHUP, as of a terminal that closes, cancel a command that has no
// settings to reload.
func (s *signals) cancelOnHangup(ctx context.Context, _ *cli.Command) (context.Context, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case received := <-s.hangups:
			cancel(&stopError{signal: received})
		case <-ctx.Done():
		}
	}()
	return ctx, nil
}

// logHangups logs SIGHUP until the context ends, for a program that reads its settings only
// when it starts.
func (s *signals) logHangups(ctx context.Context, logger *zap.Logger) {
	for {
		select {
		case received := <-s.hangups:
			event.SignalReceived.Log(logger, zap.Stringer("signal", received))
		case <-ctx.Done():
			return
		}
	}
}

// logStop logs the signal that ends the context.
func logStop(ctx context.Context, logger *zap.Logger) {
	context.AfterFunc(ctx, func() {
		var stop *stopError
		if errors.As(context.Cause(ctx), &stop) {
			event.SignalReceived.Log(logger, zap.Stringer("signal", stop.signal))
		}
	})
}
