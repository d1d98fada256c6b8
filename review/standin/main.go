// Command standin plays the cases of the review: it starts the programs of the project as
// separate processes on loopback addresses, with stand-ins for instances, clients and the
// operator.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0 // the rule held
	broken  = 1 // the rule was broken
	invalid = 2 // the case could not run
)

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(log *record, trouble bool) (int, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return invalid
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.say("case %s, trouble %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](log, trouble)
	if err != nil {
		log.say("the case could not run: %v", err)
		return invalid
	}
	log.say("exit code %d", code)
	return code
}
