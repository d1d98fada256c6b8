// Command stand2 runs the scripted cases of the second review: it starts the hosts of a small
// deployment as processes, plays the operator, the instances and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripted cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(r *run) (broken string, err error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE, in the folder of the case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]]))
}

// play runs one case and returns its exit code.
func play(f func(r *run) (string, error)) int {
	r, err := newRun()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitNotRun
	}
	defer r.close()
	broken, err := f(r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		r.note("RULE BROKEN: %s", broken)
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
