package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime ends a case that takes too long.
const maxTime = 110 * time.Second

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// play runs a case on a fleet; trouble is false without the disruption.
type play func(f *fleet, trouble bool) (verdict int, err error)

var cases = map[string]play{
	"drain": playDrain,
	"full":  playFull,
	"keys":  playKeys,
	"lost":  playLost,
	"names": playNames,
	"stray": playStray,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, in the repository")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	f, err := newFleet(root, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.stop(os.Getenv("LOGS"))
	trouble := os.Getenv("TROUBLE") != "0"
	f.record("trouble: %v", trouble)
	verdict, err := playInTime(p, f, trouble)
	if err != nil {
		f.record("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		verdict = cannotRun
	}
	f.dump()
	words := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN", cannotRun: "the case could not run"}
	f.record("%s", words[verdict])
	fmt.Println(words[verdict])
	return verdict
}

// playInTime plays a case until it ends, maxTime has passed or a signal comes.
func playInTime(p play, f *fleet, trouble bool) (verdict int, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		verdict, err = p(f, trouble)
	}()
	select {
	case <-ended:
		return verdict, err
	case <-time.After(maxTime):
		return cannotRun, errors.New("the case takes too long")
	case s := <-signals:
		return cannotRun, fmt.Errorf("%v", s)
	}
}
