package query

import (
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Result is the result of a query. Its JSON encoding is the body of the API's query reply.
type Result struct {
	Columns []string  `json:"columns"`
	Rows    [][]Value `json:"rows"`
}

// columnGap separates the columns of a text table.
const columnGap = "  "

// WriteTable writes the result as aligned text. Control characters are replaced: callers and upstreams could otherwise
// send escape sequences to an operator's terminal.
func (r *Result) WriteTable(w io.Writer) error {
	lines := make([][]string, 0, len(r.Rows)+1)
	header := make([]string, len(r.Columns))
	for i, c := range r.Columns {
		header[i] = printable(strings.ToUpper(c))
	}
	lines = append(lines, header)
	for _, row := range r.Rows {
		cells := make([]string, len(row))
		for i, v := range row {
			cells[i] = printable(v.String())
		}
		lines = append(lines, cells)
	}
	widths := columnWidths(lines)
	for _, cells := range lines {
		if _, err := fmt.Fprintln(w, alignedLine(cells, widths)); err != nil {
			return err
		}
	}
	return nil
}

func columnWidths(lines [][]string) []int {
	var widths []int
	for _, cells := range lines {
		for i, c := range cells {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], utf8.RuneCountInString(c))
		}
	}
	return widths
}

func alignedLine(cells []string, widths []int) string {
	var b strings.Builder
	for i, c := range cells {
		b.WriteString(c)
		if i < len(cells)-1 {
			b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(c)) + columnGap)
		}
	}
	return strings.TrimRight(b.String(), " ")
}

// printable replaces each character that is not printable with a dot.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '.'
	}, s)
}

// NewTextResult returns a result of text values, for tables that do not come from a query.
func NewTextResult(columns []string, rows [][]string) *Result {
	r := &Result{Columns: columns, Rows: make([][]Value, len(rows))}
	for i, cells := range rows {
		r.Rows[i] = make([]Value, len(cells))
		for k, c := range cells {
			r.Rows[i][k] = textValue(c)
		}
	}
	return r
}
