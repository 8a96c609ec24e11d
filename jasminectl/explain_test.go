package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `  1.2 n1 level=info ts=2026-04-11T00:13:10.000Z node=n1 msg=request id=other steps="n2/u2@0+1(0.02/3)=500"
level=info ts=2026-04-11T00:13:18.250Z node=n1 msg=request id=abc outcome=unknown steps="n2/u2@0+40(0.02/900)=unknown/upstream-failed"
level=info ts=2026-04-11T00:13:18.240Z node=n2 msg=attempt id=abc upstream=u2 result=unknown/upstream-failed err="connection reset"
level=info ts=2026-04-11T00:13:18.241Z node=n2 msg=health upstream=u2 suspect=true sick=0.92
level=info ts=2026-04-11T00:13:17.000Z node=n3 msg=health upstream=u3 suspect=true sick=0.92
level=info ts=2026-04-11T00:12:00.000Z node=n2 msg=health upstream=u2 suspect=false sick=0.1
not a log line
level=info ts=soon node=n1 msg=request id=abc
`

func TestExplainFollowsRequestAcrossNodes(t *testing.T) {
	is := is.New(t)
	lines, err := parseLog(strings.NewReader(logs))
	is.NoErr(err)
	var got []string
	for _, l := range explain(lines, "abc") {
		got = append(got, l.node+" "+l.msg)
	}
	is.Equal(got, []string{"n2 attempt", "n2 health", "n1 request"})
	is.Equal(len(explain(lines, "nobody")), 0)
}
