// Command standin3 plays the cases of the third review that are scripts. It starts hosts of
// currantloft as processes of their own, on loopback addresses, and is itself the platform's
// store, the samplers and the requesters.
//
// # Usage
//
//	standin3 CASE FOLDER
//
// It writes record.txt into the folder, and exits with 1 if the rule of the case was broken,
// with 0 if it held and with 2 if the case could not run. With TROUBLE=0 in the environment it
// plays the case without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseLimit ends a case that hangs.
	caseLimit = 115 * time.Second
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(l *lab) error{
	"foreign-text":     foreignText,
	"open-batches":     openBatches,
	"large-bodies":     largeBodies,
	"slow-readers":     slowReaders,
	"late-first-event": lateFirstEvent,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run func(l *lab) error, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	l, err := newLab(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	result := make(chan error, 1)
	go func() { result <- run(l) }()
	select {
	case err = <-result:
	case <-time.After(caseLimit):
		err = errors.New("the case did not end in time")
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitFailed
	}
	l.logf("result: exit code %d, %v", code, err)
	l.close()
	return code
}
