// Command standins plays the review's cases: it starts the project's agents as separate processes and the stand-ins around them.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// stage is where a case runs.
type stage struct {
	root    string // of the repository
	folder  string // for temporary files
	record  *record
	trouble bool // the disruption takes place
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "launcher" {
		launcherMain(os.Args[2:])
		return
	}
	os.Exit(play())
}

func play() int {
	cases := map[string]func(*stage) error{
		"hidden": playHidden, "foreign": playForeign, "unanswered": playUnanswered, "handover": playHandover,
	}
	root := flag.String("root", ".", "root of the repository")
	output := flag.String("output", ".", "folder of record.txt")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Println("unknown case", flag.Arg(0))
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("files stay in", folder)
	}
	record, err := newRecord(*output)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	s := &stage{root: *root, folder: folder, record: record, trouble: os.Getenv("TROUBLE") != "0"}
	s.record.note("case %s, disruption: %v", flag.Arg(0), s.trouble)
	switch err = run(s); {
	case err == nil:
		s.record.note("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		s.record.note("%v", err)
		return exitBroken
	}
	s.record.note("could not run: %v", err)
	return exitNotRun
}
