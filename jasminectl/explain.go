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

// beliefSpan is the time before a request from which lines on the upstreams and nodes that it met are shown.
const beliefSpan = 10 * time.Second

// maxLine bounds the bytes of one log line.
const maxLine = 1 << 20

// line is one line of a node's log.
type line struct {
	at     time.Time
	node   string
	msg    string
	fields []field
}

type field struct{ key, value string }

// value returns the value of a key, or "".
func (l *line) value(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// String formats the line for reading.
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

// explainCommand shows the way of one request over all nodes from their collected logs.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from collected logs what each node decided on a request, and on what",
		ArgsUsage: "ID",
		Flags:     []cli.Flag{&cli.StringSliceFlag{Name: "log", Usage: "log of one or more nodes; - for the standard input", Value: []string{"-"}}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			id := cmd.Args().First()
			if id == "" {
				return errors.New("explain: no request id")
			}
			var lines []line
			for _, name := range cmd.StringSlice("log") {
				got, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, got...)
			}
			story := explain(lines, id)
			if len(story) == 0 {
				return errors.Errorf("explain: no line on request %s; lines on requests that went well are sampled", id)
			}
			for i := range story {
				fmt.Fprintln(cmd.Root().Writer, story[i].String())
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

// parseLog returns the lines that have a time stamp; what a collector put before the first key is skipped.
func parseLog(r io.Reader) ([]line, error) {
	var out []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		i := strings.Index(text, "level=")
		if i < 0 {
			continue
		}
		if l, ok := parseLine(text[i:]); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrap(s.Err(), "explain: read log")
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

// metPattern finds the upstreams, as node/upstream, in the steps of a request.
var metPattern = regexp.MustCompile(`(\S+)/(\S+)@\d+\+\d+`)

// explain returns the lines on the request and, from the time shortly before it, those on the upstreams and nodes that it met, in order of time.
func explain(lines []line, id string) []line {
	met := make(map[string]bool)
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
		met[l.node] = true
		met[l.value("upstream")] = true
		for _, m := range metPattern.FindAllStringSubmatch(l.value("steps"), -1) {
			met[m[1]], met[m[2]] = true, true
		}
	}
	delete(met, "")
	var out []line
	for _, l := range lines {
		near := !l.at.Before(first.Add(-beliefSpan)) && !l.at.After(last)
		if l.value("id") == id || near && !first.IsZero() && relates(&l, met) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return out
}

// relates reports whether the line tells of a belief or a change of what the request met.
func relates(l *line, met map[string]bool) bool {
	switch l.msg {
	case "health", "announcement":
		return met[l.value("upstream")]
	case "member":
		return met[l.node] && met[l.value("member")]
	case "bundle", "started", "stopping", "stopped", "reloaded", "log service away", "log service back":
		return met[l.node]
	}
	return false
}
