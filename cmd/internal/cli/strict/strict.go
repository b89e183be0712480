// Package strict reads JSON with comments and tells, with file and line, what
// is wrong with it: broken syntax, unknown fields and wrong types.
package strict

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Error is a fault in a file.
type Error struct {
	File    string
	Line    int
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message) }

// Decode reads text, the content of file, into out, which must be a pointer.
func Decode(file string, text []byte, out any) error {
	value, err := hujson.Parse(text)
	if err != nil {
		return syntaxError(file, err)
	}
	w := fieldChecker{file: file, text: text}
	if err := w.checkValue(&value, reflect.TypeOf(out).Elem(), ""); err != nil {
		return err
	}
	value.Standardize()
	standard := value.Pack()
	if err := json.Unmarshal(standard, out); err != nil {
		return decodeError(file, standard, err)
	}
	return nil
}

// syntaxError turns hujson's message, which begins with the line, into ours.
func syntaxError(file string, err error) error {
	var line, column int
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	return &Error{File: file, Line: max(line, 1), Message: message}
}

// decodeError finds the line of a value of the wrong type. Standardizing keeps
// every offset.
func decodeError(file string, text []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		what := fmt.Sprintf("field %q: a %s does not fit, want %s", wrongType.Field, wrongType.Value, wrongType.Type)
		return &Error{File: file, Line: lineAt(text, int(wrongType.Offset)), Message: what}
	}
	return &Error{File: file, Line: 1, Message: err.Error()}
}

// walker checks the names of a value's fields against a Go type.
type fieldChecker struct {
	file string
	text []byte
}

func (w fieldChecker) checkValue(v *hujson.Value, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		return w.checkObject(value, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i := range value.Elements {
			if err := w.checkValue(&value.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w fieldChecker) checkObject(o *hujson.Object, t reflect.Type, path string) error {
	if t.Kind() != reflect.Struct {
		return nil
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		field, known := fieldOf(t, name)
		if !known {
			return w.fault(m, "unknown field %q%s", name, pathSuffix(path))
		}
		if seen[name] {
			return w.fault(m, "field %q%s stands twice", name, pathSuffix(path))
		}
		seen[name] = true
		if err := w.checkValue(&m.Value, field.Type, strings.TrimPrefix(path+"."+name, ".")); err != nil {
			return err
		}
	}
	return nil
}

func (w fieldChecker) fault(m *hujson.ObjectMember, format string, args ...any) error {
	return &Error{File: w.file, Line: lineAt(w.text, m.Name.StartOffset), Message: fmt.Sprintf(format, args...)}
}

func pathSuffix(path string) string {
	if path == "" {
		return ""
	}
	return " in " + path
}

// fieldOf finds the field of a struct that JSON calls name.
func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name && f.IsExported() {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

// lineAt counts the lines up to an offset, from 1.
func lineAt(text []byte, offset int) int {
	offset = min(max(offset, 0), len(text))
	return 1 + strings.Count(string(text[:offset]), "\n")
}
