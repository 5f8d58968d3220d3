package integ

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// signalGap is the time between two signals.
const signalGap = 100 * time.Millisecond

// caughtSignals returns the signals that hosts get from the platform and from operators.
func caughtSignals() []syscall.Signal {
	return []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
}

// checkStopped waits until a host's process has exited, which must be by a graceful stop.
func checkStopped(t *testing.T, h *host) {
	t.Helper()
	<-h.ended()
	if state := h.cmd.ProcessState; !state.Success() {
		t.Errorf("%s ended with %v, want a graceful stop", h.name, state)
	}
}

// TestSignalEndsStoppingHost sends each signal to a host that stops under load. SIGHUP, to
// which it no longer listened, ended it in the middle of its requests.
func TestSignalEndsStoppingHost(t *testing.T) {
	s := newSite(t, 3, siteTimeout)
	h := s.hosts[0]
	checkAnswered := s.keepCalling(t, h, h.ended())
	time.Sleep(time.Second)
	h.signal(syscall.SIGTERM)
	for _, sig := range caughtSignals() {
		time.Sleep(signalGap)
		h.signal(sig)
	}
	checkAnswered()
	checkStopped(t, h)
}

// blocks reports whether the process blocks a signal or has a handler for it.
func blocks(pid int, sig syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		mask, err := strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		if (name == "SigBlk" || name == "SigCgt") && err == nil && mask&(1<<(sig-1)) != 0 {
			return true
		}
	}
	return false
}

// TestSignalEndsStorageHost sends each signal to a storage host that runs.
func TestSignalEndsStorageHost(t *testing.T) {
	s := newSite(t, 1, siteTimeout)
	for _, sig := range caughtSignals() {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			h := s.newHost(t.TempDir(), len(s.hosts))
			h.arguments = []string{"store"}
			s.start(h)
			t.Cleanup(func() { s.reap(h) })
			s.eventually("the storage host has started", func() bool {
				text, err := os.ReadFile(h.log)
				return err == nil && strings.Contains(string(text), "node_starting")
			})
			h.signal(sig)
			time.Sleep(signalGap)
			h.signal(syscall.SIGTERM)
			checkStopped(t, h)
		})
	}
}
