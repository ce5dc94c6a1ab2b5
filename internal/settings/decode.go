package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// decoder fills typed structs from the syntax tree. It goes on after a problem, which encoding/json does not,
// and remembers where each field stands for the checks that follow.
type decoder struct {
	file     string
	data     []byte
	where    map[string]position
	problems []Problem
}

var (
	durationType  = reflect.TypeFor[time.Duration]()
	syntaxMessage = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)
)

// parse reports whether the content could be decoded far enough to be checked.
func (d *decoder) parse(s *Settings) bool {
	root, err := hujson.Parse(d.data)
	if err != nil {
		d.problems = append(d.problems, d.syntaxProblem(err))
		return false
	}
	if _, ok := root.Value.(*hujson.Object); !ok {
		d.wrongType(root, "", "an object with the settings")
		return false
	}
	d.value(root, reflect.ValueOf(s).Elem(), "")
	return true
}

func (d *decoder) syntaxProblem(err error) Problem {
	p := Problem{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	if m := syntaxMessage.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Message = m[3]
	}
	p.Message = "syntax: " + p.Message
	return p
}

func (d *decoder) report(offset int, field, format string, args ...any) {
	pos := at(d.data, offset)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: pos.line, Column: pos.column, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) wrongType(v hujson.Value, field, want string) {
	d.report(v.StartOffset, field, "wrong type: want %s, got %s", want, kindName(v.Value.Kind()))
}

// failed reports whether the field, or a block that holds it, already has a problem.
func (d *decoder) failed(field string) bool {
	for _, p := range d.problems {
		if p.Field == field || strings.HasPrefix(field, p.Field+".") || strings.HasPrefix(field, p.Field+"[") {
			return true
		}
	}
	return false
}

func (d *decoder) value(v hujson.Value, out reflect.Value, field string) {
	d.where[field] = at(d.data, v.StartOffset)
	switch {
	case out.Type() == durationType:
		d.duration(v, out, field)
	case out.Kind() == reflect.Pointer:
		d.pointer(v, out, field)
	case out.Kind() == reflect.Struct:
		d.object(v, out, field)
	case out.Kind() == reflect.Slice:
		d.array(v, out, field)
	default:
		d.scalar(v, out, field)
	}
}

func (d *decoder) pointer(v hujson.Value, out reflect.Value, field string) {
	block := reflect.New(out.Type().Elem())
	if b, ok := block.Interface().(interface{ setDefaults() }); ok {
		b.setDefaults()
	}
	out.Set(block)
	d.value(v, block.Elem(), field)
}

func (d *decoder) object(v hujson.Value, out reflect.Value, field string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, field, "an object")
		return
	}
	fields := fieldsByName(out.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := text(m.Name)
		path := join(field, name)
		index, known := fields[name]
		switch {
		case !known:
			d.report(m.Name.StartOffset, path, "unknown field; known here: %s", strings.Join(names(out.Type()), ", "))
		case seen[name]:
			d.report(m.Name.StartOffset, path, "field is given twice")
		default:
			d.value(m.Value, out.Field(index), path)
		}
		seen[name] = true
	}
}

func (d *decoder) array(v hujson.Value, out reflect.Value, field string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, field, "an array of strings")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		d.value(e, out.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (d *decoder) duration(v hujson.Value, out reflect.Value, field string) {
	switch v.Value.Kind() {
	case '"':
		got, err := time.ParseDuration(text(v))
		if err != nil {
			d.report(v.StartOffset, field, "wrong unit: %q is not a duration such as \"500ms\", \"2s\" or \"1m30s\"", text(v))
			return
		}
		out.SetInt(int64(got))
	case '0':
		n := v.Value.(hujson.Literal)
		d.report(v.StartOffset, field, "wrong unit: a duration needs a unit; write \"%sms\" or \"%ss\" instead of %s", n, n, n)
	default:
		d.wrongType(v, field, "a duration string such as \"500ms\"")
	}
}

func (d *decoder) scalar(v hujson.Value, out reflect.Value, field string) {
	raw, isLiteral := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch {
	case out.Kind() == reflect.String && kind == '"':
		out.SetString(text(v))
	case out.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		out.SetBool(kind == 't')
	case out.CanInt() && kind == '0' && isLiteral:
		n, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || out.OverflowInt(n) {
			d.report(v.StartOffset, field, "wrong type: want a whole number, got %s", raw)
			return
		}
		out.SetInt(n)
	default:
		d.wrongType(v, field, wantName(out.Kind()))
	}
}

// text decodes a string literal; invalid escapes were refused by the parser.
func text(v hujson.Value) string {
	var s string
	if raw, ok := v.Value.(hujson.Literal); ok {
		_ = json.Unmarshal(raw, &s)
	}
	return s
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldsByName(t reflect.Type) map[string]int {
	m := map[string]int{}
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			m[name] = i
		}
	}
	return m
}

func names(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}

func kindName(k hujson.Kind) string {
	switch k {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '[':
		return "an array"
	}
	return "an object"
}

func wantName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "a whole number"
}
