package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Errors that Evaluate returns.
var (
	// ErrJobNotFound means that no job with this key is visible to the viewer. It does not reveal whether another team
	// has such a job.
	ErrJobNotFound = errors.New("query: job not found")
	// ErrOperatorsOnly means that a team's caller queried a table that only operators may read.
	ErrOperatorsOnly = errors.New("query: only operators may ask for this")
)

// ParseError is an error in the text of a query or change. Line and Column start at 1.
type ParseError struct {
	Line     int
	Column   int
	Found    string // the unexpected text; empty at the end of the input
	Expected string
}

// Error formats the position, what was found there and what was expected.
func (e *ParseError) Error() string {
	found := "the end of the text"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("line %d, column %d: found %s, expected %s", e.Line, e.Column, found, e.Expected)
}

// CommandError is returned when a command of a change cannot be applied to the configuration. Line and Column are the
// position of the command; both start at 1.
type CommandError struct {
	Line   int
	Column int
	Err    error
}

// Error formats the position of the command and the reason.
func (e *CommandError) Error() string {
	return fmt.Sprintf("line %d, column %d: %v", e.Line, e.Column, e.Err)
}

// Unwrap returns the reason.
func (e *CommandError) Unwrap() error { return e.Err }

// parseErrorAt returns a ParseError at the position of w.
func parseErrorAt(w word, expected string) error {
	found := w.Text
	if found == "" {
		found = `""`
	}
	return &ParseError{Line: w.Pos.Line, Column: w.Pos.Column, Found: found, Expected: expected}
}

// grammarNodeTexts maps the names of grammar nodes in participle's messages to texts for users.
var grammarNodeTexts = map[string]string{
	"Word":           "a name or a value",
	"Condition":      "a field",
	"SortClause":     "a field",
	"SetCommand":     `"team" | "guarantee" | "rule" | "weights"`,
	"RemoveCommand":  `"team" | "guarantee" | "rule"`,
	"ShapeClause":    "a number of accelerators",
	"WeightsCommand": `"completion-time"`,
	"RuleCommand":    "a kind",
}

// translateParserError converts an error of participle to a ParseError. The fallback is the expected text if participle
// names none, as it does at optional parts of the grammar.
func translateParserError(err error, fallback string) error {
	var tokenErr *participle.UnexpectedTokenError
	var lexerErr *lexer.Error
	var parserErr participle.Error
	switch {
	case errors.As(err, &tokenErr):
		p := tokenErr.Position()
		expected := firstExpected(tokenErr.Message())
		if expected == "" {
			expected = fallback
		}
		return &ParseError{Line: p.Line, Column: p.Column, Found: tokenErr.Unexpected.Value, Expected: expected}
	case errors.As(err, &lexerErr):
		found := strings.TrimPrefix(lexerErr.Msg, "invalid input text ")
		return &ParseError{
			Line: lexerErr.Pos.Line, Column: lexerErr.Pos.Column, Found: strings.Trim(found, `"`),
			Expected: "a word, a quoted text that is closed, an operator or ';'",
		}
	case errors.As(err, &parserErr):
		p := parserErr.Position()
		return &ParseError{Line: p.Line, Column: p.Column, Found: parserErr.Message(), Expected: "a valid token"}
	}
	return &ParseError{Line: 1, Column: 1, Expected: err.Error()}
}

// firstExpected returns the first element of the "(expected ...)" part of a participle message, or "" if the message
// has no such part. The part contains the rest of the grammar rule, of which only the first element is useful to
// users.
func firstExpected(message string) string {
	_, expected, ok := strings.Cut(message, "(expected ")
	if !ok {
		return ""
	}
	expected = strings.TrimSuffix(expected, ")")
	if strings.HasPrefix(expected, "(") {
		if end := strings.IndexByte(expected, ')'); end > 0 {
			return expected[1:end]
		}
	}
	first, _, _ := strings.Cut(expected, " ")
	if name, ok := grammarNodeTexts[strings.TrimRight(first, "*+?")]; ok {
		return name
	}
	return first
}
