package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// contextWindow is the time before the first line of a request from which lines about its upstreams and nodes are shown.
const contextWindow = 10 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// line is a parsed line of a node's log.
type line struct {
	at     time.Time
	node   string
	msg    string
	fields []field
}

type field struct{ key, value string }

// value returns the value of a key, or "" if the line does not have it.
func (l *line) value(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// String formats the line for display.
func (l *line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-12s", l.at.Format("15:04:05.000"), l.node, l.msg)
	for _, f := range l.fields {
		switch f.key {
		case "ts", "node", "msg", "level":
			continue
		}
		if f.value != "" && f.value != "null" {
			fmt.Fprintf(&b, " %s=%s", f.key, f.value)
		}
	}
	return b.String()
}

// explainCommand returns the command that traces one request through all nodes in their collected logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show, from collected logs, what each node decided about a request and why",
		ArgsUsage: "ID",
		Flags:     []cli.Flag{&cli.StringSliceFlag{Name: "log", Usage: "log file of one or more nodes; - for standard input", Value: []string{"-"}}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			id := cmd.Args().First()
			if id == "" {
				return errors.New("explain: request id is missing")
			}
			var lines []line
			for _, name := range cmd.StringSlice("log") {
				fromFile, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, fromFile...)
			}
			relevant := explain(lines, id)
			if len(relevant) == 0 {
				return errors.Errorf("explain: no log line about request %s; lines about successful requests are sampled", id)
			}
			for i := range relevant {
				fmt.Fprintln(cmd.Root().Writer, relevant[i].String())
			}
			return nil
		},
	}
}

func readLog(name string) ([]line, error) {
	if name == "-" {
		return parseLog(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	defer f.Close()
	return parseLog(f)
}

// parseLog returns the lines that have a valid timestamp; text that a log collector put before the level key is skipped.
func parseLog(r io.Reader) ([]line, error) {
	var parsed []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		i := strings.Index(text, "level=")
		if i < 0 {
			continue
		}
		if l, ok := parseLine(text[i:]); ok {
			parsed = append(parsed, l)
		}
	}
	return parsed, errors.Wrap(s.Err(), "explain: read log")
}

func parseLine(text string) (line, bool) {
	var l line
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		l.fields = append(l.fields, field{string(d.Key()), string(d.Value())})
	}
	at, err := time.Parse(time.RFC3339Nano, l.value("ts"))
	l.at, l.node, l.msg = at, l.value("node"), l.value("msg")
	return l, err == nil && d.Err() == nil
}

// stepPattern matches the node and upstream of each step in the steps of a request.
var stepPattern = regexp.MustCompile(`(\S+)/(\S+)@\d+\+\d+`)

// explain returns the lines about the request and, from contextWindow before its first line until its last one, the lines about state
// changes of the nodes and upstreams involved, sorted by time.
func explain(lines []line, id string) []line {
	involved := make(map[string]bool)
	var first, last time.Time
	for i := range lines {
		l := &lines[i]
		if l.value("id") != id {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		involved[l.node] = true
		involved[l.value("upstream")] = true
		for _, m := range stepPattern.FindAllStringSubmatch(l.value("steps"), -1) {
			involved[m[1]], involved[m[2]] = true, true
		}
	}
	delete(involved, "")
	var relevant []line
	for _, l := range lines {
		inWindow := !l.at.Before(first.Add(-contextWindow)) && !l.at.After(last)
		if l.value("id") == id || inWindow && !first.IsZero() && concerns(&l, involved) {
			relevant = append(relevant, l)
		}
	}
	slices.SortStableFunc(relevant, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return relevant
}

// concerns reports whether the line records a state change of an upstream or node that was involved in the request.
func concerns(l *line, involved map[string]bool) bool {
	switch l.msg {
	case "health", "announcement":
		return involved[l.value("upstream")]
	case "member":
		return involved[l.node] && involved[l.value("member")]
	case "bundle", "version refused", "versions read by", "read failed", "started", "stopping", "stopped", "reloaded", "log service away", "log service back":
		return involved[l.node]
	}
	return false
}
