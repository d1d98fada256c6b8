package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds what each script runs, by the number of its folder.
var cases = map[string]func(dir string, rec *record, trouble bool) (broken bool, err error){
	"11": runTokens,
	"12": runOptions,
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the case with the number in the folder, with a temporary folder for the processes.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 NUMBER FOLDER TEMPORARY-FOLDER")
		return exitNotRun
	}
	rec, err := openRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %v", args[0], trouble)
	broken, err := cases[args[0]](args[2], rec, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
