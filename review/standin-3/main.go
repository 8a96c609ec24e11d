// Command standin-3 plays the scripted cases of the third review against processes of the product.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// verdict tells how a case ended.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*world) verdict{
	"encoded-prefix": encodedPrefix,
	"control-call":   controlCall,
	"cut-extra":      cutExtra,
	"late-pings":     latePings,
	"key-passed-on":  keyPassedOn,
}

func main() {
	runtime.LockOSThread() // the processes of the product end with the thread that has started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(unplayed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*world) verdict, recordFile string) (status int) {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer w.close()
	defer func() {
		p := recover()
		if u, ok := p.(unusable); ok {
			fmt.Println("could not run:", u.reason)
			status = unplayed
		} else if p != nil {
			panic(p)
		}
	}()
	v := f(w)
	w.log("verdict: broken=%v: %s", v.broken, v.text)
	fmt.Printf("broken=%v: %s\n", v.broken, v.text)
	if v.broken {
		return broken
	}
	return held
}
