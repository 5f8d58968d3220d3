package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
)

type (
	// Signals are the signals that the process receives.
	Signals struct {
		hangups, stops <-chan os.Signal
		hangupIgnored  bool
	}

	// stopError is the cause of a context that a signal has ended.
	stopError struct{ signal os.Signal }
)

// NewSignals returns the signals of the channels that receive SIGHUP and those that stop the
// process. If SIGHUP is ignored, it ends no command.
func NewSignals(hangups, stops <-chan os.Signal, hangupIgnored bool) *Signals {
	return &Signals{hangups: hangups, stops: stops, hangupIgnored: hangupIgnored}
}

// Error names the signal.
func (e *stopError) Error() string { return fmt.Sprintf("stopped by signal: %v", e.signal) }

// stopContext returns a context that the first stop signal cancels. Later ones change
// nothing.
func (s *Signals) stopContext(parent context.Context) (context.Context, context.CancelFunc) {
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
func (s *Signals) cancelOnHangup(ctx context.Context, _ *cli.Command) (context.Context, error) {
	if s.hangupIgnored {
		return ctx, nil
	}
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
func (s *Signals) logHangups(ctx context.Context, logger *zap.Logger) {
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
