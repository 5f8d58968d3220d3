// Package cmds implements the command line of currantloft, one command per file.
//
// # Usage
//
//	os.Exit(cmds.Main(cmds.NewSignals(early.Hangups(), early.Stops(), early.HangupIgnored())))
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitFindings = 3
	ExitConflict = 4
	ExitUnknown  = 5
)

// exitError is an error with the exit code of the program.
type exitError struct {
	code  int
	cause error
}

// Error returns the cause's text.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// Main runs the program and returns its exit code. The first stop signal cancels its context,
// and long-running commands stop gracefully. SIGHUP makes them reload their settings.
func Main(received *Signals) int {
	ctx, cancel := received.stopContext(context.Background())
	defer cancel()
	return execute(ctx, received, os.Args, os.Stdout, os.Stderr)
}

func execute(ctx context.Context, received *Signals, args []string, out, errOut io.Writer) int {
	err := newRoot(received, out, errOut).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, "currantloft:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

func newRoot(received *Signals, out, errOut io.Writer) *cli.Command {
	others := []*cli.Command{
		checkCommand(),
		planCommand(),
		applyCommand(),
		statusCommand(),
		dumpCommand(),
		whyCommand(),
		drainCommand(),
		loadCommand(),
		demoCommand(),
		versionCommand(),
		fakeCommand(),
	}
	for _, command := range others {
		command.Before = received.cancelOnHangup
	}
	root := &cli.Command{
		Name:                  "currantloft",
		Usage:                 "rollout service for reinforcement learning, configured by declarations in version control",
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          onUsageError,
		Commands:              append([]*cli.Command{nodeCommand(received), edgeCommand(received), storeCommand(received)}, others...),
	}
	for _, command := range root.Commands {
		command.OnUsageError = onUsageError
	}
	return root
}

// onUsageError reports a command line that cannot be parsed.
func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return usageError("%w: see currantloft --help", err)
}

// usageError returns an error with the exit code for incorrect usage.
func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, cause: fmt.Errorf(format, args...)}
}
