//go:build cgo

package early

/*
#include <signal.h>

int early_hangup_ignored;

// Runs before the Go runtime, which leaves SIGHUP ignored until os/signal is asked for it.
__attribute__((constructor)) static void ignore_signals(void) {
	early_hangup_ignored = signal(SIGHUP, SIG_IGN) == SIG_IGN;
	// The runtime ignores these, too.
	signal(SIGUSR1, SIG_IGN);
	signal(SIGUSR2, SIG_IGN);
	signal(SIGALRM, SIG_IGN);
}
*/
import "C"

func ignoredAtStart() bool { return C.early_hangup_ignored != 0 }
