// Package query is the language in which callers ask what runs, waits or was refused and why, and in which
// operators change teams, guarantees and rules.
package query

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// MaxTextBytes is the longest text that is parsed.
const MaxTextBytes = 64 << 10

// Query is a parsed query. Its fields and values are checked.
type Query struct {
	table   *table
	filters []filter
	sortBy  int // index of a column, -1 for the table's own order
	desc    bool
	limit   int // -1 for no limit
	explain *model.JobKey
}

// filter is one condition on a column.
type filter struct {
	column   int
	operator string
	value    Value
}

// Parse parses a query. Errors are of type *ParseError.
func Parse(text string) (*Query, error) {
	if err := checkLength(text); err != nil {
		return nil, err
	}
	st, err := queryParser.ParseString("", text)
	if err != nil {
		return nil, parseError(err, afterQuery(st))
	}
	switch {
	case st.Explain != nil:
		return explainQuery(*st.Explain)
	case st.Status:
		return &Query{table: statusTable, sortBy: -1, limit: -1}, nil
	}
	return showQuery(st.Show)
}

// OperatorsOnly reports whether only operators may ask this.
func (q *Query) OperatorsOnly() bool { return q.table != nil && q.table.operatorsOnly }

// ExplainedJob returns the job that the query asks about, or nil.
func (q *Query) ExplainedJob() *model.JobKey { return q.explain }

func checkLength(text string) error {
	if len(text) <= MaxTextBytes {
		return nil
	}
	return &ParseError{Line: 1, Column: 1, Found: text[:16], Expected: fmt.Sprintf("at most %d bytes", MaxTextBytes)}
}

// afterQuery tells what may follow the parts of a query that were read.
func afterQuery(st *statement) string {
	switch {
	case st == nil || (st.Show == nil && st.Explain == nil && !st.Status):
		return `"show" | "explain" | "config"`
	case st.Show == nil || st.Show.Limit != nil:
		return "the end of the query"
	case st.Show.Sort != nil && st.Show.Sort.Desc:
		return `"limit" or the end of the query`
	case st.Show.Sort != nil:
		return `"asc" | "desc" | "limit" or the end of the query`
	case len(st.Show.Where) > 0:
		return `"and" | "sort" | "limit" or the end of the query`
	}
	return `"where" | "sort" | "limit" or the end of the query`
}

func explainQuery(w word) (*Query, error) {
	team, id, _ := strings.Cut(w.Text, "/")
	if !model.ValidName(team) || !model.ValidName(id) {
		return nil, errorAt(w, "a job as TEAM/ID")
	}
	return &Query{explain: &model.JobKey{Team: team, ID: id}}, nil
}

func showQuery(s *showStatement) (*Query, error) {
	q := &Query{table: tables[strings.ToLower(s.Table)], sortBy: -1, limit: -1}
	for _, c := range s.Where {
		f, err := q.table.filter(c)
		if err != nil {
			return nil, err
		}
		q.filters = append(q.filters, f)
	}
	var err error
	if s.Sort != nil {
		q.desc = s.Sort.Desc
		if q.sortBy, err = q.table.column(s.Sort.Field); err != nil {
			return nil, err
		}
	}
	if s.Limit != nil {
		if q.limit, err = s.Limit.count(); err != nil {
			return nil, err
		}
	}
	return q, nil
}

// column finds a column by its name.
func (t *table) column(w word) (int, error) {
	names := make([]string, len(t.columns))
	for i, c := range t.columns {
		if c.name == strings.ToLower(w.Text) {
			return i, nil
		}
		names[i] = c.name
	}
	return 0, errorAt(w, "a field: "+strings.Join(names, ", "))
}

func (t *table) filter(c *condition) (filter, error) {
	i, err := t.column(c.Field)
	if err != nil {
		return filter{}, err
	}
	col := t.columns[i]
	if !strings.Contains(col.kind.operators(), " "+c.Operator+" ") {
		return filter{}, errorAt(c.Field, fmt.Sprintf("a field that can be compared with %s; %s allows%s",
			c.Operator, col.name, strings.TrimRight(col.kind.operators(), " ")))
	}
	v, err := col.literal(c.Value, c.Operator)
	return filter{column: i, operator: c.Operator, value: v}, err
}

// literal reads a value of the column's kind.
func (c column) literal(w word, operator string) (Value, error) {
	switch c.kind {
	case kindNumber:
		n, err := strconv.ParseInt(w.Text, 10, 64)
		if err != nil {
			return Value{}, errorAt(w, "a whole number")
		}
		return numberValue(n), nil
	case kindBool:
		switch strings.ToLower(w.Text) {
		case "true", "yes":
			return boolValue(true), nil
		case "false", "no":
			return boolValue(false), nil
		}
		return Value{}, errorAt(w, "true or false")
	case kindDuration:
		if strings.EqualFold(w.Text, never) {
			return Value{kind: kindDuration, null: true}, nil
		}
		d, err := time.ParseDuration(w.Text)
		if err != nil {
			return Value{}, errorAt(w, "a duration such as 90s or 2h30m, or never")
		}
		return durationValue(d), nil
	}
	if len(c.values) > 0 && operator != "~" && !slices.Contains(c.values, w.Text) {
		return Value{}, errorAt(w, strings.Join(c.values, " | "))
	}
	return textValue(w.Text), nil
}

// count reads a whole number that is not negative.
func (w word) count() (int, error) {
	n, err := strconv.Atoi(w.Text)
	if err != nil || n < 0 {
		return 0, errorAt(w, "a whole number of at least 0")
	}
	return n, nil
}
