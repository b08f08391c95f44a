//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenarios are the cases by name. They report whether the rule was broken.
var scenarios = map[string]func(d *deployment, trouble bool) (bool, error){
	"poison-after-restart": poisonAfterRestart,
	"poison-pair":          poisonPair,
	"poison-part-burst":    poisonPartBurst,
	"poison-part-silent":   poisonPartSilent,
	"upgrade-in-place":     upgradeInPlace,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the first argument names, with the gateway of the second one, and writes record.txt
// to the folder of the third.
func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE GATEWAY FOLDER")
		return exitCannotRun
	}
	r, err := newRecord(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	d, err := newDeployment(r, args[1], nil)
	if err != nil {
		r.say("cannot run: %v", err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption %v", args[0], trouble)
	broken, err := scenarios[args[0]](d, trouble)
	d.end()
	switch {
	case err != nil:
		r.say("cannot run: %v", err)
		return exitCannotRun
	case broken:
		r.say("the rule was broken")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
