package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by number. Each reports whether the rule was broken, and an error if it could not run.
var cases = map[string]func(l *lab) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, began: time.Now()}
	defer l.close()
	broken, err := cases[name](l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		l.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
