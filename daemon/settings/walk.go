package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// walk compares a value with the type that it is to be decoded into. It stores
// the offset of each field, and records a fault for each unknown field,
// duplicate field and value of another type.
func (s *source) walk(v hujson.Value, t reflect.Type, path string) {
	s.offsets[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		s.walkObject(v, value, t, path)
	case *hujson.Array:
		s.walkArray(v, value, t, path)
	case hujson.Literal:
		s.walkLiteral(v, value, t, path)
	}
}

func (s *source) walkObject(v hujson.Value, object *hujson.Object, t reflect.Type, path string) {
	known, isMap := fieldTypes(t), t.Kind() == reflect.Map
	if known == nil && !isMap {
		s.addFaultAt(v.StartOffset, path, "is an object, want "+typeName(t))
		return
	}
	seen := make(map[string]bool)
	for _, member := range object.Members {
		name := memberName(member)
		field := join(path, name)
		if seen[name] {
			s.addFaultAt(member.Name.StartOffset, field, "duplicate field")
			continue
		}
		seen[name] = true
		fieldType, ok := known[name]
		if isMap {
			fieldType, ok = t.Elem(), true
		}
		if !ok {
			s.addFaultAt(member.Name.StartOffset, field, "unknown field"+suggestion(name, known))
			continue
		}
		s.walk(member.Value, fieldType, field)
	}
}

func (s *source) walkArray(v hujson.Value, array *hujson.Array, t reflect.Type, path string) {
	if t.Kind() != reflect.Slice {
		s.addFaultAt(v.StartOffset, path, "is a list, want "+typeName(t))
		return
	}
	for i, element := range array.Elements {
		s.walk(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (s *source) walkLiteral(v hujson.Value, literal hujson.Literal, t reflect.Type, path string) {
	if literal.Kind() == 'n' {
		s.addFaultAt(v.StartOffset, path, "is null; leave the field out for its default")
		return
	}
	err := json.Unmarshal(literal, reflect.New(t).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		s.addFaultAt(v.StartOffset, path, fmt.Sprintf("is %s, want %s", []byte(literal), typeName(t)))
	case err != nil:
		s.addFaultAt(v.StartOffset, path, err.Error())
	}
}

// memberName returns the unescaped name of a member.
func memberName(m hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldTypes returns the types of a struct's fields by their JSON names, or nil
// if t is not a struct.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	if t.Kind() != reflect.Struct {
		return nil
	}
	types := make(map[string]reflect.Type)
	for i := range t.NumField() {
		types[jsonName(t.Field(i))] = t.Field(i).Type
	}
	return types
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// typeName describes a type in the terms of JSON, for fault messages.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}

// suggestion returns a hint at the known field that differs from name only in
// letter case or underscores, or an empty string if there is none.
func suggestion(name string, known map[string]reflect.Type) string {
	normalize := func(s string) string { return strings.ToLower(strings.ReplaceAll(s, "_", "")) }
	for k := range known {
		if normalize(k) == normalize(name) {
			return fmt.Sprintf("; did you mean %q?", k)
		}
	}
	return ""
}
