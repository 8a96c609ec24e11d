package setting

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time span written with units, such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalText parses a non-negative duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	if v < 0 {
		return errors.Errorf("duration %q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is a number of bytes written with a binary unit, such as "64KiB".
type Size int64

type unit struct {
	name  string
	bytes int64
}

var units = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText parses a non-negative whole number with its unit.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range units {
		num, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(num), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return errors.Errorf("%q is not a size such as \"64KiB\"", text)
}

// MarshalText formats the size with the largest unit that divides it.
func (s Size) MarshalText() ([]byte, error) {
	for _, u := range units {
		if s != 0 && int64(s)%u.bytes == 0 {
			return []byte(strconv.FormatInt(int64(s)/u.bytes, 10) + u.name), nil
		}
	}
	return []byte("0B"), nil
}
