package main

import (
	"flag"
	"fmt"
	"os"
)

// cases are the scripts by the name of their case.
var cases = map[string]func(*lab) error{
	"crowd":      crowd,
	"half-close": halfClose,
	"herd":       herd,
	"interim":    interim,
	"poison":     poison,
}

func main() {
	root := flag.String("root", ".", "the repository")
	folder := flag.String("folder", ".", "the folder of the record")
	trouble := flag.String("trouble", os.Getenv("TROUBLE"), "0: without the disruption")
	flag.Parse()
	os.Exit(run(*root, *folder, flag.Arg(0), *trouble != "0"))
}

// run plays a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(root, folder, name string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	l, err := newLab(root, folder, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer l.close()
	if err := play(l); err != nil {
		l.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(l.problems) > 0 {
		l.note("result: the rule was broken %d times", len(l.problems))
		fmt.Println(l.problems[0])
		return 1
	}
	l.note("result: the rule held")
	return 0
}
