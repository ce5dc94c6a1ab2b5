package query

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

type valueKind int

const (
	kindText valueKind = iota
	kindNumber
	kindBool
	kindDuration
	kindList
)

// neverText is the text of a null duration in queries and tables.
const neverText = "never"

// operators lists the operators that a kind supports, each with a space on both sides.
func (k valueKind) operators() string {
	switch k {
	case kindBool:
		return " = != "
	case kindList:
		return " = != ~ "
	case kindNumber, kindDuration:
		return " = != < <= > >= "
	}
	return " = != < <= > >= ~ "
}

// Value is one cell of a result: a text, a number, a boolean, a duration, a list of texts, or null.
type Value struct {
	kind   valueKind
	null   bool
	text   string
	number int64 // of a boolean 0 or 1, of a duration its nanoseconds
	list   []string
}

func textValue(s string) Value { return Value{kind: kindText, text: s} }

func numberValue[T int | int64](n T) Value { return Value{kind: kindNumber, number: int64(n)} }

func durationValue(d time.Duration) Value { return Value{kind: kindDuration, number: int64(d)} }

func listValue(items []string) Value { return Value{kind: kindList, list: items} }

func boolValue(b bool) Value {
	v := Value{kind: kindBool}
	if b {
		v.number = 1
	}
	return v
}

// nullUnless returns v if the condition is true, and otherwise a null of the same kind.
func nullUnless(condition bool, v Value) Value {
	if condition {
		return v
	}
	return Value{kind: v.kind, null: true}
}

// String formats the value for a text table. A null duration is "never", any other null is "-".
func (v Value) String() string {
	switch {
	case v.null && v.kind == kindDuration:
		return neverText
	case v.null:
		return "-"
	}
	switch v.kind {
	case kindNumber:
		return strconv.FormatInt(v.number, 10)
	case kindBool:
		return strconv.FormatBool(v.number == 1)
	case kindDuration:
		return time.Duration(v.number).String()
	case kindList:
		return strings.Join(v.list, ",")
	}
	return v.text
}

// MarshalJSON encodes a duration as a string such as "1m30s", and any other value as the JSON type of its kind.
func (v Value) MarshalJSON() ([]byte, error) {
	if v.null {
		return []byte("null"), nil
	}
	switch v.kind {
	case kindNumber:
		return json.Marshal(v.number)
	case kindBool:
		return json.Marshal(v.number == 1)
	case kindList:
		if v.list == nil {
			return []byte("[]"), nil
		}
		return json.Marshal(v.list)
	}
	return json.Marshal(v.String())
}

// UnmarshalJSON decodes a value of a query reply for display. A duration is decoded as a text, because JSON does not
// distinguish the two.
func (v *Value) UnmarshalJSON(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var raw any
	if err := d.Decode(&raw); err != nil {
		return err
	}
	switch x := raw.(type) {
	case nil:
		*v = Value{null: true}
	case string:
		*v = textValue(x)
	case bool:
		*v = boolValue(x)
	case json.Number:
		*v = textValue(x.String())
		if n, err := x.Int64(); err == nil {
			*v = numberValue(n)
		}
	case []any:
		items := make([]string, len(x))
		for i := range x {
			items[i] = fmt.Sprint(x[i])
		}
		*v = listValue(items)
	default:
		return fmt.Errorf("query: a cell cannot be %T", raw)
	}
	return nil
}

// compare orders values of the same kind. Null is greater than every other value.
func (v Value) compare(o Value) int {
	switch {
	case v.null && o.null:
		return 0
	case v.null:
		return 1
	case o.null:
		return -1
	}
	switch v.kind {
	case kindText, kindList:
		return cmp.Compare(v.String(), o.String())
	}
	return cmp.Compare(v.number, o.number)
}

// matches reports whether v satisfies the condition "v operator o". Null equals only null and is neither less nor
// greater than any value.
func (v Value) matches(operator string, o Value) bool {
	if v.kind == kindList {
		return v.listMatches(operator, o.text)
	}
	c := v.compare(o)
	switch operator {
	case "=":
		return c == 0
	case "!=":
		return c != 0
	case "~":
		return !v.null && strings.Contains(v.text, o.text)
	}
	if v.null || o.null {
		return false
	}
	switch operator {
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	}
	return c >= 0
}

// listMatches applies an operator to the items of a list: "=" and "~" hold if they hold for one of the items, and "!="
// holds if no item equals the text.
func (v Value) listMatches(operator, text string) bool {
	switch operator {
	case "=":
		return slices.Contains(v.list, text)
	case "!=":
		return !slices.Contains(v.list, text)
	}
	return slices.ContainsFunc(v.list, func(item string) bool { return strings.Contains(item, text) })
}
