// Package strict decodes JSON with comments and reports syntax errors, unknown
// fields, duplicate fields and wrong types with their file and line.
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

// Decode decodes text, the content of file, into out, which must be a pointer.
func Decode(file string, text []byte, out any) error {
	value, err := hujson.Parse(text)
	if err != nil {
		return syntaxError(file, err)
	}
	c := fieldChecker{file: file, text: text}
	if err := c.checkValue(&value, reflect.TypeOf(out).Elem(), ""); err != nil {
		return err
	}
	value.Standardize()
	standard := value.Pack()
	if err := json.Unmarshal(standard, out); err != nil {
		return decodeError(file, standard, err)
	}
	return nil
}

// syntaxError converts an error of hujson, whose message begins with the line,
// into an Error.
func syntaxError(file string, err error) error {
	var line, column int
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &line, &column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	return &Error{File: file, Line: max(line, 1), Message: message}
}

// decodeError converts an error of encoding/json into an Error with the line of
// the value. Standardizing the text keeps every offset.
func decodeError(file string, text []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		message := fmt.Sprintf("field %q: got %s, want %s", wrongType.Field, wrongType.Value, wrongType.Type)
		return &Error{File: file, Line: lineAt(text, int(wrongType.Offset)), Message: message}
	}
	return &Error{File: file, Line: 1, Message: err.Error()}
}

// fieldChecker checks the field names of a value against a Go type.
type fieldChecker struct {
	file string
	text []byte
}

func (c fieldChecker) checkValue(v *hujson.Value, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		return c.checkObject(value, t, path)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		for i := range value.Elements {
			if err := c.checkValue(&value.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c fieldChecker) checkObject(o *hujson.Object, t reflect.Type, path string) error {
	if t.Kind() != reflect.Struct {
		return nil
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		field, known := fieldOf(t, name)
		if !known {
			return c.fault(m, "unknown field %q%s", name, pathSuffix(path))
		}
		if seen[name] {
			return c.fault(m, "duplicate field %q%s", name, pathSuffix(path))
		}
		seen[name] = true
		if err := c.checkValue(&m.Value, field.Type, strings.TrimPrefix(path+"."+name, ".")); err != nil {
			return err
		}
	}
	return nil
}

func (c fieldChecker) fault(m *hujson.ObjectMember, format string, args ...any) error {
	return &Error{File: c.file, Line: lineAt(c.text, m.Name.StartOffset), Message: fmt.Sprintf(format, args...)}
}

func pathSuffix(path string) string {
	if path == "" {
		return ""
	}
	return " in " + path
}

// fieldOf returns the field of a struct whose JSON name is name.
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

// lineAt returns the number of the line at an offset, from 1.
func lineAt(text []byte, offset int) int {
	offset = min(max(offset, 0), len(text))
	return 1 + strings.Count(string(text[:offset]), "\n")
}
