package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/setting"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the command check. Any other failure of the command exits with exitErrors as well.
const (
	exitErrors   = 1
	exitWarnings = 2
)

// checkError reports that a configuration has errors, or warnings that count as such. The findings have been printed.
type checkError struct {
	file             string
	errors, warnings int
}

// Error implements error.
func (e *checkError) Error() string {
	return fmt.Sprintf("%s: %d errors, %d warnings", e.file, e.errors, e.warnings)
}

func (e *checkError) exitCode() int {
	if e.errors > 0 {
		return exitErrors
	}
	return exitWarnings
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration before it is sent; exits with 1 on errors and with 2 on warnings with --strict",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "file with the configuration in force, to show what changes"},
			&cli.StringFlag{Name: "format", Usage: "toml for a bundle, store for a configuration of the platform's contract", Value: "toml"},
			&cli.StringSliceFlag{Name: "slots", Usage: "slots of a service over the whole fleet, as `SERVICE=N`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.BoolFlag{Name: "strict", Usage: "fail on warnings"},
		},
		Action: check,
	}
}

// configFile is a configuration that was read from a file, with the findings of decoding it.
type configFile struct {
	document *bundle.Document // nil if it can't be decoded
	findings []bundle.Finding
	locate   func(bundle.Finding) bundle.Finding // gives a finding its place in the file
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("want one FILE")
	}
	slots, err := parseSlots(cmd.StringSlice("slots"))
	if err != nil {
		return err
	}
	file, against := cmd.Args().First(), cmd.String("against")
	config, err := readConfig(file, cmd.String("format"))
	if err != nil {
		return err
	}
	list := config.lint(slots)
	if against != "" {
		former, err := readConfig(against, cmd.String("format"))
		if err != nil {
			return err
		}
		list = append(list, compare(former, config)...)
	}
	return report(cmd, file, list)
}

// parseSlots decodes values of the form SERVICE=N.
func parseSlots(list []string) (map[string]int, error) {
	slots := make(map[string]int)
	for _, text := range list {
		service, number, _ := strings.Cut(text, "=")
		n, err := strconv.Atoi(number)
		if err != nil || n < 1 || service == "" {
			return nil, errors.Errorf("slots %q, want SERVICE=N with N at least 1", text)
		}
		slots[service] = n
	}
	return slots, nil
}

func readConfig(file, format string) (*configFile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	switch format {
	case "toml":
		return decodeBundle(file, data)
	case "store":
		return decodeStore(data), nil
	}
	return nil, errors.Errorf("unknown format %q, want toml or store", format)
}

func decodeBundle(file string, data []byte) (*configFile, error) {
	lines := setting.NewLines(data)
	c := &configFile{locate: func(f bundle.Finding) bundle.Finding {
		f.Line = lines.Find(f.Place)
		return f
	}}
	var err error
	c.document, err = bundle.DecodeDocument(file, data)
	var invalid *setting.Error
	switch {
	case errors.As(err, &invalid):
		c.addProblems(invalid.Problems())
	case err != nil:
		return nil, err
	}
	return c, nil
}

// decodeStore decodes a configuration of the platform's contract. Its bundle has values that it doesn't hold, which are those of the
// settings of a node and don't matter to a check.
func decodeStore(data []byte) *configFile {
	draft := platform.ReadDraft(data, platform.Policy{})
	c := &configFile{locate: func(f bundle.Finding) bundle.Finding {
		f.Place = draft.Place(f.Place)
		return f
	}}
	c.addProblems(draft.Problems())
	if len(draft.Problems()) == 0 {
		c.document = draft.Document()
	}
	for _, text := range draft.Adjusted() {
		c.findings = append(c.findings, bundle.Finding{Severity: bundle.Warning, Code: bundle.CodeAdjusted, Message: text})
	}
	return c
}

func (c *configFile) addProblems(problems []setting.Problem) {
	for _, p := range problems {
		c.findings = append(c.findings, bundle.ProblemFinding(p))
	}
}

// lint returns all findings in the file.
func (c *configFile) lint(slots map[string]int) []bundle.Finding {
	list := c.findings
	if c.document == nil {
		return list
	}
	for _, f := range bundle.Lint(c.document, slots) {
		list = append(list, c.locate(f))
	}
	return list
}

// compare returns the differences between two files. It returns none if the newer file has errors, which are among its own findings.
func compare(former, config *configFile) []bundle.Finding {
	after, err := config.build()
	if err != nil {
		return nil
	}
	before, err := former.build()
	if err != nil {
		return []bundle.Finding{{Severity: bundle.Error, Code: bundle.CodeInvalidAgainst, Place: "--against", Message: err.Error()}}
	}
	return bundle.Compare(before, after)
}

func (c *configFile) build() (*bundle.Bundle, error) {
	if c.document == nil {
		return nil, errors.New(c.findings[0].Message)
	}
	return bundle.Build(c.document)
}

// report prints the findings. The error is a *checkError if the command must fail because of them.
func report(cmd *cli.Command, file string, list []bundle.Finding) error {
	result := &checkError{file: file}
	for _, f := range list {
		switch f.Severity {
		case bundle.Error:
			result.errors++
		case bundle.Warning:
			result.warnings++
		case bundle.Notice:
		}
	}
	printFindings := printText
	if cmd.Bool("json") {
		printFindings = printJSON
	}
	if err := printFindings(cmd.Root().Writer, result, list); err != nil {
		return err
	}
	if result.errors > 0 || cmd.Bool("strict") && result.warnings > 0 {
		return result
	}
	return nil
}

func printJSON(w io.Writer, result *checkError, list []bundle.Finding) error {
	if list == nil {
		list = []bundle.Finding{}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		File     string           `json:"file"`
		Errors   int              `json:"errors"`
		Warnings int              `json:"warnings"`
		Findings []bundle.Finding `json:"findings"`
	}{result.file, result.errors, result.warnings, list})
}

func printText(w io.Writer, result *checkError, list []bundle.Finding) error {
	for _, f := range list {
		place := result.file
		if f.Line > 0 {
			place += ":" + strconv.Itoa(f.Line)
		}
		if f.Place != "" {
			place += ": " + f.Place
		}
		if _, err := fmt.Fprintf(w, "%s: %v %s: %s\n", place, f.Severity, f.Code, f.Message); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, result)
	return err
}
