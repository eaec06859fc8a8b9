//go:build review

// Command review-harness runs the scripted cases of the review. It starts the project's daemons as
// separate processes and plays everything around them: the platform's store, the servers and the
// clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// maxRun bounds a whole case.
const maxRun = 110 * time.Second

// init keeps main on the main thread; see addDaemon.
func init() { runtime.LockOSThread() }

func main() {
	cases := map[string]func(*site) (bool, error){"stale-keys": staleKeys, "refused-ran": refusedRan, "idle-model": idleModel}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE RECORD")
		os.Exit(exitCantRun)
	}
	s, err := newSite(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	}
	giveUp := func(reason string) {
		s.close()
		fmt.Fprintln(os.Stderr, reason)
		os.Exit(exitCantRun)
	}
	watchdog := time.AfterFunc(maxRun, func() { giveUp("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		giveUp("the case was stopped")
	}()
	broken, err := cases[os.Args[1]](s)
	watchdog.Stop()
	s.close()
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCantRun)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	default:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
}
