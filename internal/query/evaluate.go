package query

import (
	"slices"
)

// Evaluate runs a query on the part of a view that the viewer may see. It does no I/O and keeps no state.
func Evaluate(q *Query, v *View, viewer Viewer) (*Result, error) {
	if q.OperatorsOnly() && !viewer.IsOperator() {
		return nil, ErrOperatorsOnly
	}
	s := newQueryScope(v, viewer)
	if q.explainedJob != nil {
		return s.explainJob(*q.explainedJob)
	}
	rows := slices.DeleteFunc(q.table.rows(s), func(row []Value) bool { return !q.matchesRow(row) })
	if q.sortColumn >= 0 {
		slices.SortStableFunc(rows, func(a, b []Value) int {
			if q.descending {
				a, b = b, a
			}
			return a[q.sortColumn].compare(b[q.sortColumn])
		})
	}
	if q.limit >= 0 && len(rows) > q.limit {
		rows = rows[:q.limit]
	}
	return q.table.newResult(rows), nil
}

// matchesRow reports whether the row satisfies all filters.
func (q *Query) matchesRow(row []Value) bool {
	for _, f := range q.filters {
		if !row[f.columnIndex].matches(f.operator, f.value) {
			return false
		}
	}
	return true
}

// newResult returns the rows with the column names of the table. Rows is never nil, so that it is encoded as [].
func (t *table) newResult(rows [][]Value) *Result {
	r := &Result{Columns: make([]string, len(t.columns)), Rows: rows}
	if r.Rows == nil {
		r.Rows = [][]Value{}
	}
	for i, c := range t.columns {
		r.Columns[i] = c.name
	}
	return r
}
