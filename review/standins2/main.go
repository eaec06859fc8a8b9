// Command standins2 plays the cases of the second review: it starts daemons as separate processes
// with the command of the deploy file, with stand-ins for the store, the instances and the callers
// in its own process, and checks one rule. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var (
	// errBroken: the rule of the case was broken.
	errBroken = errors.New("the rule was broken")
	// errInterrupted and errTooLong: the case did not end by itself.
	errInterrupted = errors.New("interrupted")
	errTooLong     = errors.New("the case takes too long")
)

// maxTime bounds the duration of a case.
const maxTime = 117 * time.Second

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name.
var cases = map[string]func(*site) error{
	"joining-daemons": playJoiningDaemons,
	"handover":        playHandover,
	"second-service":  playSecondService,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", ".", "folder for record.txt")
	binary := flag.String("binary", "target/lupinkeel", "program under test")
	flag.Parse()
	os.Exit(run(*name, *out, *binary))
}

// run plays a case and returns the exit code.
func run(name, out, binary string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	s, err := newSite(out, binary, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	ended := make(chan error, 1)
	go func() { ended <- play(s) }()
	select {
	case err = <-ended:
	case <-signals:
		err = errInterrupted
	case <-time.After(maxTime):
		err = errTooLong
	}
	err = errors.Join(err, s.close())
	switch {
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
