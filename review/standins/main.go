//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario injects its disruption if trouble is set. It returns whether the rule was broken, or an error if the case
// could not run.
type scenario func(rec *recorder, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"cancel-at-hand-over":   cancelAtHandOver,
	"foreign-ping":          foreignPing,
	"gone-before-hand-over": goneBeforeHandOver,
	"lasting-end":           lastingEnd,
	"late-leave":            lateLeave,
}

func main() { os.Exit(runScenario()) }

func runScenario() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins SCENARIO DIR")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("scenario %s, disruption: %v", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.logf("the rule was broken")
		return exitBroken
	}
	rec.logf("the rule held")
	return exitHeld
}
