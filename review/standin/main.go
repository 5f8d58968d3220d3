// Command standin runs the review's cases: it starts the project's programs as separate
// processes with stand-ins of the platform's store, samplers and requesters, and checks
// one rule by what these have seen.
//
// # Usage
//
//	TROUBLE=1 target/standin CASE RECORD
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	// runLimit is less than the 120 s that a case may take.
	runLimit = 112 * time.Second
)

// verdict is the result of a case.
type verdict struct {
	// broken lists what broke the rule.
	broken []string
	// note is further information for the record.
	note string
}

// cases are the cases by name.
var cases = map[string]func(*site, bool) (verdict, error){
	"refused": runRefused,
	"hedge":   runHedge,
	"crash":   runCrash,
	"stray":   runStray,
	"drain":   runDrain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	record, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSite(record)
	if err != nil {
		record.printf("not run: %v", err)
		return exitNotRun
	}
	defer s.Close()
	// A caught signal has its default action in the processes that are started, an ignored
	// one, as under nohup, would stay ignored there.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.Close()
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(runLimit, func() {
		record.printf("not run: not done after %v", runLimit)
		s.Close()
		os.Exit(exitNotRun)
	})
	record.printf("case %s, with the disruption: %t", os.Args[1], trouble)
	v, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		record.printf("not run: %v", err)
		return exitNotRun
	}
	if v.note != "" {
		record.printf("%s", v.note)
	}
	for _, b := range v.broken {
		record.printf("BROKEN: %s", b)
	}
	if len(v.broken) > 0 {
		record.printf("result: broken, %d times", len(v.broken))
		return exitBroken
	}
	record.printf("result: held")
	return exitHeld
}
