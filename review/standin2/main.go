// Command standin2 runs the cases of the second review that can't be put as a day of the
// bench: it starts edge processes beside a store, samplers and callers of its own, and checks
// what callers and samplers see.
//
// # Usage
//
//	standin2 -case bodies -record review/6/record.txt -root . [-trouble=false]
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule is broken")

// caseLimit limits a case, with the end of its processes.
const caseLimit = 112 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name, path := flag.String("case", "", "name of the case"), flag.String("record", "", "file of its record")
	root, trouble := flag.String("root", ".", "folder of the repository"), flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	temp, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temp) }()
	// A signal ends the case with its processes.
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signals, caseLimit)
	defer cancel()
	switch *name {
	case "bodies":
		err = runBodies(ctx, rec, *root, temp, *trouble)
	case "takeover":
		err = runTakeover(ctx, rec, *root, temp, *trouble)
	case "ended":
		err = runEnded(ctx, rec, *root, temp, *trouble)
	case "poison":
		err = runPoison(ctx, rec, *root, temp, *trouble)
	default:
		err = fmt.Errorf("unknown case %q", *name)
	}
	if err == nil || errors.Is(err, errBroken) {
		// A case that was cut short shows nothing.
		err = errors.Join(ctx.Err(), err)
	}
	code := 0
	switch {
	case ctx.Err() != nil:
		code = 2
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		code = 2
	}
	rec.printf("exit code %d: %v", code, err)
	fmt.Println("exit code", code, err)
	return code
}
