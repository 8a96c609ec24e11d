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

// TestExplainTellsOfARefusedKey guards against a refusal with 401 or 503 whose cause, the version of the node and who confirms it, is not shown.
func TestExplainTellsOfARefusedKey(t *testing.T) {
	is := is.New(t)
	lines, err := parseLog(strings.NewReader(`level=info ts=2026-04-11T00:13:12.000Z node=n1 msg=bundle version=7 result=accepted source=store
level=warn ts=2026-04-11T00:13:15.000Z node=n1 msg="read failed" err="status 503"
level=info ts=2026-04-11T00:13:16.000Z node=n2 msg="versions read by" reader=n3
level=info ts=2026-04-11T00:13:17.000Z node=n1 msg="versions read by" reader=self
level=warn ts=2026-04-11T00:13:17.500Z node=n1 msg="version refused" err="caller[1].keys"
level=info ts=2026-04-11T00:13:18.000Z node=n1 msg=request id=abc code=stale-bundle status=503 bundle=7 steps=
`))
	is.NoErr(err)
	var got []string
	for _, l := range explain(lines, "abc") {
		got = append(got, l.node+" "+l.msg)
	}
	is.Equal(got, []string{"n1 bundle", "n1 read failed", "n1 versions read by", "n1 version refused", "n1 request"})
}
