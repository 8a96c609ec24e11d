// Command standin plays the cases of the review that are scripts: it starts the project's own processes and plays their requesters,
// servers and the platform's store.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. Each returns an error if it couldn't run.
var cases = map[string]func(root, folder string, trouble bool, log *record) (verdict, error){
	"config-moves-all-routes": configMovesAllRoutes,
	"stray-ping":              strayPing,
	"lost-departure":          lostDeparture,
	"two-slashes":             twoSlashes,
	"run-and-refused":         runAndRefused,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER; TROUBLE=0 plays the case without the disruption")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case, writes its record to the folder and returns the exit code.
func play(name, root, folder string) int {
	scratch, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	log := newRecord()
	v, err := cases[name](root, scratch, os.Getenv("TROUBLE") != "0", log)
	if err == nil {
		log.add("verdict", "-", "broken=%v: %s", v.broken, v.text)
		err = log.write(filepath.Join(folder, "record.txt"))
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case v.broken:
		fmt.Println("broken:", v.text)
		return exitBroken
	}
	fmt.Println("held:", v.text)
	return exitHeld
}
