package query

import (
	"slices"
)

// Evaluate answers a query from a view, restricted to what the viewer may see. It does no I/O and keeps no state.
func Evaluate(q *Query, v *View, viewer Viewer) (*Result, error) {
	if q.OperatorsOnly() && !viewer.IsOperator() {
		return nil, ErrOperatorsOnly
	}
	s := newScope(v, viewer)
	if q.explain != nil {
		return s.explain(*q.explain)
	}
	rows := slices.DeleteFunc(q.table.rows(s), func(row []Value) bool { return !q.accepts(row) })
	if q.sortBy >= 0 {
		slices.SortStableFunc(rows, func(a, b []Value) int {
			if q.desc {
				a, b = b, a
			}
			return a[q.sortBy].compare(b[q.sortBy])
		})
	}
	if q.limit >= 0 && len(rows) > q.limit {
		rows = rows[:q.limit]
	}
	return q.table.result(rows), nil
}

func (q *Query) accepts(row []Value) bool {
	for _, f := range q.filters {
		if !row[f.column].matches(f.operator, f.value) {
			return false
		}
	}
	return true
}

func (t *table) result(rows [][]Value) *Result {
	r := &Result{Columns: make([]string, len(t.columns)), Rows: rows}
	if r.Rows == nil {
		r.Rows = [][]Value{}
	}
	for i, c := range t.columns {
		r.Columns[i] = c.name
	}
	return r
}
