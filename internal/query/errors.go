package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Errors of the evaluation.
var (
	// ErrJobNotFound means that the caller has no such job. It does not tell whether another team has one.
	ErrJobNotFound = errors.New("query: job not found")
	// ErrOperatorsOnly means that a team's caller asked for what only operators may see.
	ErrOperatorsOnly = errors.New("query: only operators may ask for this")
)

// ParseError says where a text is wrong and what was expected there. Lines and columns start at 1.
type ParseError struct {
	Line     int
	Column   int
	Found    string // empty at the end of the text
	Expected string
}

// Error names the place, what was found and what was expected.
func (e *ParseError) Error() string {
	found := "the end of the text"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("line %d, column %d: found %s, expected %s", e.Line, e.Column, found, e.Expected)
}

// CommandError is the refusal of one command of a change.
type CommandError struct {
	Line   int
	Column int
	Err    error
}

// Error names the place of the command and the reason.
func (e *CommandError) Error() string {
	return fmt.Sprintf("line %d, column %d: %v", e.Line, e.Column, e.Err)
}

// Unwrap returns the reason.
func (e *CommandError) Unwrap() error { return e.Err }

func errorAt(w word, expected string) error {
	found := w.Text
	if found == "" {
		found = `""`
	}
	return &ParseError{Line: w.Pos.Line, Column: w.Pos.Column, Found: found, Expected: expected}
}

// grammarNames are the names of grammar nodes in participle's messages, in words.
var grammarNames = map[string]string{
	"Word":           "a name or a value",
	"Condition":      "a field",
	"SortClause":     "a field",
	"SetCommand":     `"team" | "guarantee" | "rule" | "weights"`,
	"RemoveCommand":  `"team" | "guarantee" | "rule"`,
	"ShapeClause":    "a number of accelerators",
	"WeightsCommand": `"completion-time"`,
	"RuleCommand":    "a kind",
}

// parseError translates an error of participle. The fallback is used where participle names no expectation, which
// is the case at optional parts of the grammar.
func parseError(err error, fallback string) error {
	var unexpected *participle.UnexpectedTokenError
	var invalid *lexer.Error
	var other participle.Error
	switch {
	case errors.As(err, &unexpected):
		p := unexpected.Position()
		expected := firstExpected(unexpected.Message())
		if expected == "" {
			expected = fallback
		}
		return &ParseError{Line: p.Line, Column: p.Column, Found: unexpected.Unexpected.Value, Expected: expected}
	case errors.As(err, &invalid):
		found := strings.TrimPrefix(invalid.Msg, "invalid input text ")
		return &ParseError{
			Line: invalid.Pos.Line, Column: invalid.Pos.Column, Found: strings.Trim(found, `"`),
			Expected: "a word, a quoted text that is closed, an operator or ';'",
		}
	case errors.As(err, &other):
		p := other.Position()
		return &ParseError{Line: p.Line, Column: p.Column, Found: other.Message(), Expected: "a valid token"}
	}
	return &ParseError{Line: 1, Column: 1, Expected: err.Error()}
}

// firstExpected extracts the first element of the "(expected ...)" part of a message, which holds the grammar up to
// the end of the rule.
func firstExpected(message string) string {
	_, grammar, ok := strings.Cut(message, "(expected ")
	if !ok {
		return ""
	}
	grammar = strings.TrimSuffix(grammar, ")")
	if strings.HasPrefix(grammar, "(") {
		if end := strings.IndexByte(grammar, ')'); end > 0 {
			return grammar[1:end]
		}
	}
	first, _, _ := strings.Cut(grammar, " ")
	if name, ok := grammarNames[strings.TrimRight(first, "*+?")]; ok {
		return name
	}
	return first
}
