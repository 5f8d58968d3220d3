package integ

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// signalGap is the time between two signals.
const signalGap = 100 * time.Millisecond

// caughtSignals returns the signals that a process can catch, without those that suspend it.
func caughtSignals() []syscall.Signal {
	var list []syscall.Signal
	for sig := syscall.Signal(1); sig < 32; sig++ {
		switch sig {
		case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU:
		default:
			list = append(list, sig)
		}
	}
	return list
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

// signalMask returns a set of signals in the status of a process.
func signalMask(path, name string) (mask uint64) {
	// A process that has ended has no status.
	status, _ := os.ReadFile(path)
	for line := range strings.Lines(string(status)) {
		if field, value, _ := strings.Cut(line, ":"); field == name {
			mask, _ = strconv.ParseUint(strings.TrimSpace(value), 16, 64)
		}
	}
	return mask
}

func contains(mask uint64, sig syscall.Signal) bool { return mask&(1<<(sig-1)) != 0 }

// holds reports whether a signal can no longer end a process by its default action: SIGHUP is
// ignored first, and has a handler once all signals are received.
func holds(pid int, sig syscall.Signal) bool {
	status := fmt.Sprintf("/proc/%d/status", pid)
	received := contains(signalMask(status, "SigCgt"), syscall.SIGHUP)
	return received || sig == syscall.SIGHUP && contains(signalMask(status, "SigIgn"), sig)
}

// TestSignalEndsStartingHost sends signals to hosts of both kinds in their first
// milliseconds. They ended it before it received any.
func TestSignalEndsStartingHost(t *testing.T) {
	s := newSite(t, 1, siteTimeout)
	for _, command := range []string{"edge", "store"} {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGINT, syscall.SIGQUIT, syscall.SIGTERM} {
			t.Run(fmt.Sprintf("%s, %v", command, sig), func(t *testing.T) {
				t.Parallel()
				h := s.newHost(t.TempDir(), len(s.hosts)+int(sig))
				if command == "store" {
					h.arguments = []string{command}
				}
				s.start(h)
				t.Cleanup(func() { s.reap(h) })
				s.eventually("the process can be signalled", func() bool { return holds(h.cmd.Process.Pid, sig) })
				h.signal(sig)
				if sig == syscall.SIGHUP {
					// It goes on until it is stopped.
					time.Sleep(time.Second)
					h.signal(syscall.SIGTERM)
				}
				checkStopped(t, h)
			})
		}
	}
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

// TestLogReaderThatEndsHost closes the reader of a host's logs, whose next line raised SIGPIPE.
func TestLogReaderThatEndsHost(t *testing.T) {
	s := newSite(t, 1, siteTimeout)
	h := s.newHost(t.TempDir(), len(s.hosts))
	cmd := exec.Command(binaryPath, "store", "--settings", h.settings)
	logs, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := logs.Read(make([]byte, 1)); err != nil {
		t.Error(err)
	}
	_ = logs.Close()
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		// The line about the signal is written before the next one comes.
		time.Sleep(2 * signalGap)
		_ = cmd.Process.Signal(sig)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the storage host ended with %v, want a graceful stop", err)
	}
}
