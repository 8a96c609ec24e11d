package setting

import (
	stderrors "errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Problem is one error in a settings file.
type Problem struct {
	file string
	line int
	key  string
	text string
	code string
}

// NewProblem returns a problem with the value of a key, for use by Checker implementations.
func NewProblem(key, format string, args ...any) Problem {
	return Problem{key: key, text: fmt.Sprintf(format, args...)}
}

// WithCode returns the problem with a stable code that names its kind.
func (p Problem) WithCode(code string) Problem {
	p.code = code
	return p
}

// WithLine returns the problem with the line of its value, counted from 1.
func (p Problem) WithLine(line int) Problem {
	p.line = line
	return p
}

// Code returns the stable code that names the kind of the problem, or "".
func (p Problem) Code() string { return p.code }

// Text returns what is wrong, without the place.
func (p Problem) Text() string { return p.text }

// Key returns the dotted name of the key.
func (p Problem) Key() string { return p.key }

// Line returns the line number, counted from 1, or 0 if it is unknown.
func (p Problem) Line() int { return p.line }

// String formats the problem as "file:line: key: text".
func (p Problem) String() string {
	var b strings.Builder
	if p.file != "" {
		b.WriteString(p.file)
		b.WriteByte(':')
	}
	if p.line > 0 {
		fmt.Fprintf(&b, "%d:", p.line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.key != "" {
		b.WriteString(p.key)
		b.WriteString(": ")
	}
	b.WriteString(p.text)
	return b.String()
}

// Error holds all problems of one file.
type Error struct {
	problems []Problem
}

// Problems returns the problems in the order in which they were found.
func (e *Error) Problems() []Problem { return e.problems }

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings that can check their own values.
type Checker interface {
	// Check returns all problems with the values, or nil.
	Check() []Problem
}

// Load reads the named file into dst and checks it; the error is an *Error if the content is invalid.
func Load(file string, dst any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Decode(file, data, dst)
}

// Decode parses data into dst, rejects unknown keys and calls the Check method of dst if it has one.
func Decode(file string, data []byte, dst any) error {
	dec := toml.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return decodeError(file, err, dst)
	}
	c, ok := dst.(Checker)
	if !ok {
		return nil
	}
	problems := c.Check()
	if len(problems) == 0 {
		return nil
	}
	lines := NewLines(data)
	for i := range problems {
		problems[i].file = file
		problems[i].line = lines.Find(problems[i].key)
	}
	return &Error{problems: problems}
}

func decodeError(file string, err error, dst any) error {
	var strict *toml.StrictMissingError
	if stderrors.As(err, &strict) {
		return strictError(file, strict, dst)
	}
	var bad *toml.DecodeError
	if stderrors.As(err, &bad) {
		row, _ := bad.Position()
		key := strings.Join(bad.Key(), ".")
		return &Error{problems: []Problem{{file: file, line: row, key: key, text: bad.Error()}}}
	}
	return &Error{problems: []Problem{{file: file, text: err.Error()}}}
}

func strictError(file string, strict *toml.StrictMissingError, dst any) error {
	knownNames := tomlNames(reflect.TypeOf(dst), nil)
	out := &Error{}
	for i := range strict.Errors {
		e := &strict.Errors[i]
		row, _ := e.Position()
		key := e.Key()
		text := "unknown key"
		if len(key) > 0 {
			if near := nearestName(key[len(key)-1], knownNames); near != "" {
				text = fmt.Sprintf("unknown key, nearest known name is %q", near)
			}
		}
		p := Problem{file: file, line: row, key: strings.Join(key, "."), text: text}
		out.problems = append(out.problems, p)
	}
	return out
}

func tomlNames(t reflect.Type, seen map[reflect.Type]bool) []string {
	if seen == nil {
		seen = make(map[reflect.Type]bool)
	}
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return nil
	}
	seen[t] = true
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if tag != "" && tag != "-" {
			out = append(out, tag)
		}
		out = append(out, tomlNames(f.Type, seen)...)
	}
	return out
}

func nearestName(key string, known []string) string {
	best, minDistance := "", len(key)/2+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(key, k); d < minDistance {
			best, minDistance = k, d
		}
	}
	return best
}
