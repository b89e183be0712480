package docscmd

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// row is one row of a table of fields.
type row struct{ path, typeName, defaultValue, bounds, text string }

// fieldTable lists the fields of a struct, with those of nested structs under
// their paths.
type fieldTable struct {
	docs   map[string]structDoc
	bounds func(path string, f fieldDoc) string
	rows   []row
}

// walk lists the fields of v, which is at path.
func (t *fieldTable) walk(v reflect.Value, path string) {
	for _, f := range t.docs[v.Type().Name()].fields {
		field := v.FieldByName(f.goName)
		if f.name == "" || !field.IsValid() {
			continue
		}
		at := strings.TrimPrefix(path+"."+f.name, ".")
		t.rows = append(t.rows, row{at, typeName(field.Type()), defaultText(field), t.bounds(at, f), f.text})
		if nested, ok := nestedStruct(field); ok {
			t.walk(nested, at+strings.Repeat("[]", depth(field.Type())))
		}
	}
}

// nestedStruct returns a value of the struct type that a field holds, points to
// or lists.
func nestedStruct(v reflect.Value) (reflect.Value, bool) {
	t := v.Type()
	if t.Kind() == reflect.Struct {
		return v, true
	}
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return reflect.Zero(t), t.Kind() == reflect.Struct
}

// depth returns the number of lists around a type.
func depth(t reflect.Type) int {
	n := 0
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		if t.Kind() == reflect.Slice {
			n++
		}
		t = t.Elem()
	}
	return n
}

// typeName returns the name of a type for the authors of configuration files.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.Struct:
		return "object"
	case reflect.Map:
		return "object of texts"
	case reflect.Slice:
		return "list of " + typeName(t.Elem()) + "s"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

// defaultText formats the default of a scalar. It is empty for other types and
// for zero values, whose meaning the field's comment explains.
func defaultText(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Struct, reflect.Slice, reflect.Map, reflect.Pointer:
		return ""
	}
	if v.IsZero() {
		return ""
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return string(text)
}

// print writes the table.
func (t *fieldTable) print(b *strings.Builder) {
	b.WriteString("| field | value | default | range | meaning |\n|---|---|---|---|---|\n")
	for _, r := range t.rows {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", r.path, r.typeName, inlineCode(r.defaultValue), tableCell(r.bounds), tableCell(r.text))
	}
}
