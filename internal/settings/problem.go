package settings

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a settings file. Line and Column start at 1; both are 0 if the settings were not read from a
// file.
type Problem struct {
	File    string
	Line    int
	Column  int
	Field   string // dotted path such as entry.platform.timeout
	Message string
}

// String formats the problem as file:line:column: field: message.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Error lists all problems in a settings file.
type Error struct {
	Problems []Problem
}

// Error returns one problem per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

type position struct{ line, column int }

// positionAt converts a byte offset to a line and column. Columns count bytes, as in the parser's own errors.
func positionAt(data []byte, offset int) position {
	before := string(data[:min(max(offset, 0), len(data))])
	return position{line: 1 + strings.Count(before, "\n"), column: len(before) - strings.LastIndexByte(before, '\n')}
}

func sortProblems(ps []Problem) {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}
