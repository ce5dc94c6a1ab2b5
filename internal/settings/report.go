package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Report lists every setting in force, including defaults, followed by the problems. It contains no secrets: settings
// hold tokens as hashes and keys as file names.
func (s *Settings) Report() string {
	var b strings.Builder
	writeFields(&b, reflect.ValueOf(s).Elem(), "")
	problems := s.Check()
	if len(problems) == 0 {
		b.WriteString("no problems\n")
	}
	for _, p := range problems {
		fmt.Fprintln(&b, p)
	}
	return b.String()
}

func writeFields(b *strings.Builder, v reflect.Value, prefix string) {
	for i := range v.NumField() {
		name := jsonName(v.Type().Field(i))
		if name == "" {
			continue
		}
		field := v.Field(i)
		if field.Kind() == reflect.Pointer {
			if field.IsNil() {
				continue
			}
			field = field.Elem()
		}
		if field.Kind() == reflect.Struct {
			writeFields(b, field, joinPath(prefix, name))
			continue
		}
		fmt.Fprintf(b, "%s = %v\n", joinPath(prefix, name), field.Interface())
	}
}
