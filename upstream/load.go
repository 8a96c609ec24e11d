package upstream

import (
	"fmt"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/pkg/errors"
)

// Load is the state of an upstream, with the evidence on one class, that rides on answers.
type Load struct {
	Load     admission.Load
	Evidence outlier.Report
}

// milli is the scale of the fractions in the text form.
const milli = 1000

// String returns the text form that ParseLoad reads.
func (l Load) String() string {
	e := l.Evidence
	return fmt.Sprintf("%d,%d,%d,%x,%d,%d,%d,%d,%d,%d",
		l.Load.Running, l.Load.Queued, l.Load.Limit, l.Load.Refusing,
		int(e.Mean*milli), int(e.Spread*milli), int(e.Fail*milli), int(e.Count*milli), e.Seq, e.Stuck.Milliseconds())
}

// ParseLoad parses the text form of a load.
func ParseLoad(text string) (Load, error) {
	var l Load
	var mean, spread, fail, count int
	var stuck int64
	_, err := fmt.Sscanf(text, "%d,%d,%d,%x,%d,%d,%d,%d,%d,%d",
		&l.Load.Running, &l.Load.Queued, &l.Load.Limit, &l.Load.Refusing,
		&mean, &spread, &fail, &count, &l.Evidence.Seq, &stuck)
	if err != nil {
		return Load{}, errors.Wrapf(err, "load %q", text)
	}
	l.Evidence.Mean = float64(mean) / milli
	l.Evidence.Spread = float64(spread) / milli
	l.Evidence.Fail = float64(fail) / milli
	l.Evidence.Count = float64(count) / milli
	l.Evidence.Stuck = time.Duration(stuck) * time.Millisecond
	return l, nil
}
