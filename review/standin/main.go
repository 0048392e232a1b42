// Command standin plays the cases of the review: it starts the project's program as separate
// processes beside stand-ins of the platform, sends requests and writes a record of what was sent,
// answered and run. It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*lab){"tunnel": playTunnel, "second-answer": playSecondAnswer, "join": playJoin}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD; set TROUBLE=0 to leave the disruption out")
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(os.Args[2], cases[os.Args[1]]))
}
