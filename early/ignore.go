//go:build !cgo

package early

import (
	"os/signal"
	"syscall"
)

func ignoredAtStart() bool { return signal.Ignored(syscall.SIGHUP) }
