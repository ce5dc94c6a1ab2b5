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

// decoder fills typed structs from the syntax tree. Unlike encoding/json it continues after a problem, and it records
// the position of each field for the validation that follows.
type decoder struct {
	file      string
	data      []byte
	positions map[string]position // by the dotted path of the field
	problems  []Problem
}

var (
	durationType       = reflect.TypeFor[time.Duration]()
	syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)
)

// decodeSettings decodes the content into s. It returns false if the content has a syntax error or is not an object, in
// which case there is nothing to validate.
func (d *decoder) decodeSettings(s *Settings) bool {
	root, err := hujson.Parse(d.data)
	if err != nil {
		d.problems = append(d.problems, d.syntaxProblem(err))
		return false
	}
	if _, ok := root.Value.(*hujson.Object); !ok {
		d.addTypeProblem(root, "", "an object with the settings")
		return false
	}
	d.decodeValue(root, reflect.ValueOf(s).Elem(), "")
	return true
}

func (d *decoder) syntaxProblem(err error) Problem {
	p := Problem{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Message = m[3]
	}
	p.Message = "syntax: " + p.Message
	return p
}

func (d *decoder) addProblem(offset int, field, format string, args ...any) {
	pos := positionAt(d.data, offset)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: pos.line, Column: pos.column, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) addTypeProblem(v hujson.Value, field, want string) {
	d.addProblem(v.StartOffset, field, "wrong type: want %s, got %s", want, jsonTypeName(v.Value.Kind()))
}

// hasProblem reports whether a problem is already recorded for the field or for a block that contains it.
func (d *decoder) hasProblem(field string) bool {
	for _, p := range d.problems {
		if p.Field == field || strings.HasPrefix(field, p.Field+".") || strings.HasPrefix(field, p.Field+"[") {
			return true
		}
	}
	return false
}

// decodeValue decodes v into out. field is the dotted path of the value.
func (d *decoder) decodeValue(v hujson.Value, out reflect.Value, field string) {
	d.positions[field] = positionAt(d.data, v.StartOffset)
	switch {
	case out.Type() == durationType:
		d.decodeDuration(v, out, field)
	case out.Kind() == reflect.Pointer:
		d.decodePointer(v, out, field)
	case out.Kind() == reflect.Struct:
		d.decodeObject(v, out, field)
	case out.Kind() == reflect.Slice:
		d.decodeArray(v, out, field)
	default:
		d.decodeScalar(v, out, field)
	}
}

// decodePointer allocates an optional block and sets its defaults before it decodes the fields that are given.
func (d *decoder) decodePointer(v hujson.Value, out reflect.Value, field string) {
	block := reflect.New(out.Type().Elem())
	if b, ok := block.Interface().(interface{ setDefaults() }); ok {
		b.setDefaults()
	}
	out.Set(block)
	d.decodeValue(v, block.Elem(), field)
}

func (d *decoder) decodeObject(v hujson.Value, out reflect.Value, field string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addTypeProblem(v, field, "an object")
		return
	}
	fields := fieldIndexByName(out.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := decodeString(m.Name)
		path := joinPath(field, name)
		index, known := fields[name]
		switch {
		case !known:
			d.addProblem(m.Name.StartOffset, path, "unknown field; known fields: %s",
				strings.Join(fieldNames(out.Type()), ", "))
		case seen[name]:
			d.addProblem(m.Name.StartOffset, path, "field is given twice")
		default:
			d.decodeValue(m.Value, out.Field(index), path)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeArray(v hujson.Value, out reflect.Value, field string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addTypeProblem(v, field, "an array of strings")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		d.decodeValue(e, out.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
}

func (d *decoder) decodeDuration(v hujson.Value, out reflect.Value, field string) {
	switch v.Value.Kind() {
	case '"':
		got, err := time.ParseDuration(decodeString(v))
		if err != nil {
			d.addProblem(v.StartOffset, field, "wrong unit: %q is not a duration such as \"500ms\", \"2s\" or \"1m30s\"",
				decodeString(v))
			return
		}
		out.SetInt(int64(got))
	case '0':
		n := v.Value.(hujson.Literal)
		d.addProblem(v.StartOffset, field, "wrong unit: a duration needs a unit; write \"%sms\" or \"%ss\" instead of %s",
			n, n, n)
	default:
		d.addTypeProblem(v, field, "a duration string such as \"500ms\"")
	}
}

func (d *decoder) decodeScalar(v hujson.Value, out reflect.Value, field string) {
	raw, isLiteral := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch {
	case out.Kind() == reflect.String && kind == '"':
		out.SetString(decodeString(v))
	case out.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		out.SetBool(kind == 't')
	case out.CanInt() && kind == '0' && isLiteral:
		n, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || out.OverflowInt(n) {
			d.addProblem(v.StartOffset, field, "wrong type: want a whole number, got %s", raw)
			return
		}
		out.SetInt(n)
	default:
		d.addTypeProblem(v, field, expectedTypeName(out.Kind()))
	}
}

// decodeString decodes a string literal. The error is ignored because the parser has rejected invalid escapes.
func decodeString(v hujson.Value) string {
	var s string
	if raw, ok := v.Value.(hujson.Literal); ok {
		_ = json.Unmarshal(raw, &s)
	}
	return s
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldIndexByName(t reflect.Type) map[string]int {
	m := map[string]int{}
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			m[name] = i
		}
	}
	return m
}

func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			out = append(out, name)
		}
	}
	return out
}

func jsonTypeName(k hujson.Kind) string {
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

func expectedTypeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "a whole number"
}
