// Package query implements the query and change language. Callers query the state of jobs and the reasons for it;
// operators query the deployment and change teams, guarantees, rules and weights.
package query

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// MaxTextBytes is the maximum length of a query or change. Longer texts are rejected without being parsed.
const MaxTextBytes = 64 << 10

// Query is a parsed query. Its column names and values are valid.
type Query struct {
	table        *table
	filters      []filter
	sortColumn   int // index into the columns, or -1 for the default order of the table
	descending   bool
	limit        int           // maximum number of rows, or -1 for no limit
	explainedJob *model.JobKey // nil unless the query explains a job; table is nil if it does
}

// filter is one condition of a where clause.
type filter struct {
	columnIndex int
	operator    string
	value       Value
}

// Parse parses a query. Errors are of type *ParseError.
func Parse(text string) (*Query, error) {
	if err := checkLength(text); err != nil {
		return nil, err
	}
	parsed, err := queryParser.ParseString("", text)
	if err != nil {
		return nil, translateParserError(err, expectedAfterQuery(parsed))
	}
	switch {
	case parsed.Explain != nil:
		return newExplainQuery(*parsed.Explain)
	case parsed.Status:
		return &Query{table: statusTable, sortColumn: -1, limit: -1}, nil
	}
	return newShowQuery(parsed.Show)
}

// OperatorsOnly reports whether only operators may run the query.
func (q *Query) OperatorsOnly() bool { return q.table != nil && q.table.operatorsOnly }

// ExplainedJob returns the key of the job that the query explains, or nil.
func (q *Query) ExplainedJob() *model.JobKey { return q.explainedJob }

// checkLength returns a *ParseError if the text is longer than MaxTextBytes.
func checkLength(text string) error {
	if len(text) <= MaxTextBytes {
		return nil
	}
	return &ParseError{Line: 1, Column: 1, Found: text[:16], Expected: fmt.Sprintf("at most %d bytes", MaxTextBytes)}
}

// expectedAfterQuery describes what may follow the part of a query that was parsed. parsed is the partial parse result;
// it may be nil.
func expectedAfterQuery(parsed *statement) string {
	switch {
	case parsed == nil || (parsed.Show == nil && parsed.Explain == nil && !parsed.Status):
		return `"show" | "explain" | "config"`
	case parsed.Show == nil || parsed.Show.Limit != nil:
		return "the end of the query"
	case parsed.Show.Sort != nil && parsed.Show.Sort.Desc:
		return `"limit" or the end of the query`
	case parsed.Show.Sort != nil:
		return `"asc" | "desc" | "limit" or the end of the query`
	case len(parsed.Show.Where) > 0:
		return `"and" | "sort" | "limit" or the end of the query`
	}
	return `"where" | "sort" | "limit" or the end of the query`
}

func newExplainQuery(w word) (*Query, error) {
	team, id, _ := strings.Cut(w.Text, "/")
	if !model.ValidName(team) || !model.ValidName(id) {
		return nil, parseErrorAt(w, "a job as TEAM/ID")
	}
	return &Query{explainedJob: &model.JobKey{Team: team, ID: id}}, nil
}

func newShowQuery(s *showStatement) (*Query, error) {
	q := &Query{table: tables[strings.ToLower(s.Table)], sortColumn: -1, limit: -1}
	for _, c := range s.Where {
		f, err := q.table.newFilter(c)
		if err != nil {
			return nil, err
		}
		q.filters = append(q.filters, f)
	}
	var err error
	if s.Sort != nil {
		q.descending = s.Sort.Desc
		if q.sortColumn, err = q.table.columnIndex(s.Sort.Field); err != nil {
			return nil, err
		}
	}
	if s.Limit != nil {
		if q.limit, err = s.Limit.parseCount(); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// columnIndex returns the index of the column with the name w.
func (t *table) columnIndex(w word) (int, error) {
	names := make([]string, len(t.columns))
	for i, c := range t.columns {
		if c.name == strings.ToLower(w.Text) {
			return i, nil
		}
		names[i] = c.name
	}
	return 0, parseErrorAt(w, "a field: "+strings.Join(names, ", "))
}

// newFilter checks that the column exists and supports the operator, and parses the value.
func (t *table) newFilter(c *condition) (filter, error) {
	i, err := t.columnIndex(c.Field)
	if err != nil {
		return filter{}, err
	}
	col := t.columns[i]
	if !strings.Contains(col.kind.operators(), " "+c.Operator+" ") {
		return filter{}, parseErrorAt(c.Field, fmt.Sprintf("a field that can be compared with %s; %s allows%s",
			c.Operator, col.name, strings.TrimRight(col.kind.operators(), " ")))
	}
	v, err := col.parseValue(c.Value, c.Operator)
	return filter{columnIndex: i, operator: c.Operator, value: v}, err
}

// parseValue parses a value of the column's kind. If the column has a fixed set of values, only these are accepted,
// except with the substring operator ~.
func (c column) parseValue(w word, operator string) (Value, error) {
	switch c.kind {
	case kindNumber:
		n, err := strconv.ParseInt(w.Text, 10, 64)
		if err != nil {
			return Value{}, parseErrorAt(w, "a whole number")
		}
		return numberValue(n), nil
	case kindBool:
		switch strings.ToLower(w.Text) {
		case "true", "yes":
			return boolValue(true), nil
		case "false", "no":
			return boolValue(false), nil
		}
		return Value{}, parseErrorAt(w, "true or false")
	case kindDuration:
		if strings.EqualFold(w.Text, neverText) {
			return Value{kind: kindDuration, null: true}, nil
		}
		d, err := time.ParseDuration(w.Text)
		if err != nil {
			return Value{}, parseErrorAt(w, "a duration such as 90s or 2h30m, or never")
		}
		return durationValue(d), nil
	}
	if len(c.values) > 0 && operator != "~" && !slices.Contains(c.values, w.Text) {
		return Value{}, parseErrorAt(w, strings.Join(c.values, " | "))
	}
	return textValue(w.Text), nil
}

// parseCount parses a whole number that is not negative.
func (w word) parseCount() (int, error) {
	n, err := strconv.Atoi(w.Text)
	if err != nil || n < 0 {
		return 0, parseErrorAt(w, "a whole number of at least 0")
	}
	return n, nil
}
