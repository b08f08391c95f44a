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

// scenario is a case.
type scenario struct {
	// play reports whether the rule was broken. Without trouble, it leaves the disruption out.
	play   func(d *deployment, trouble bool) (broken bool, err error)
	linked bool // each host has links of its own to the replicas
}

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"poison-after-restart": {play: poisonAfterRestart},
	"poison-pair":          {play: poisonPair},
	"poison-part-burst":    {play: poisonPartBurst},
	"poison-part-silent":   {play: poisonPartSilent},
	"upgrade-in-place":     {play: upgradeInPlace},
	"lone-restarts":        {play: loneRestarts},
	"leave-untold":         {play: leaveUntold},
	"cut-off-roll":         {play: cutOffRoll, linked: true},
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the first argument names, with the gateway of the second one, and writes record.txt
// to the folder of the third.
func run(args []string) int {
	if len(args) != 3 || scenarios[args[0]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE GATEWAY FOLDER")
		return exitCannotRun
	}
	r, err := newRecord(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	played := scenarios[args[0]]
	d, err := newDeployment(r, args[1], played.linked)
	if err != nil {
		r.say("cannot run: %v", err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption %v", args[0], trouble)
	broken, err := played.play(d, trouble)
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
