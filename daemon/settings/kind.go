package settings

import (
	"reflect"

	"github.com/tailscale/hujson"

	"github.com/samphirequay/samphirequay/core/live"
)

// FileKind is the kind of a configuration file.
type FileKind string

// The kinds of configuration files.
const (
	KindSettings FileKind = "start-up settings"
	KindDocument FileKind = "live configuration"
	KindUnknown  FileKind = "unknown"
)

// CheckFile determines the kind of a file by its content, and checks the file.
func CheckFile(path string) (FileKind, Faults) {
	data, faults := readFile(path)
	if faults != nil {
		return KindUnknown, faults
	}
	return Check(path, data)
}

// Check determines the kind of the content, and checks the content. Faults
// report name as the file.
func Check(name string, data []byte) (FileKind, Faults) {
	src := openSource(name, data)
	if len(src.faults) > 0 {
		return KindUnknown, src.faults
	}
	kind := src.kind()
	switch kind {
	case KindSettings:
		_, faults := Parse(name, data)
		return kind, faults
	case KindDocument:
		_, faults := ParseDocument(name, data)
		return kind, faults
	default:
		src.addFault("", "is neither start-up settings nor a live configuration, judging by its top-level fields")
		return kind, src.faults
	}
}

// kind returns the kind that defines more of the top-level fields, or
// KindUnknown if both define equally many or the content is not an object.
func (s *source) kind() FileKind {
	object, ok := s.root.Value.(*hujson.Object)
	if !ok {
		return KindUnknown
	}
	inSettings := countKnown(object, reflect.TypeFor[Settings]())
	inDocument := countKnown(object, reflect.TypeFor[live.Document]())
	switch {
	case inSettings > inDocument:
		return KindSettings
	case inDocument > inSettings:
		return KindDocument
	default:
		return KindUnknown
	}
}

// countKnown counts the members of the object that are fields of the struct
// type t.
func countKnown(object *hujson.Object, t reflect.Type) int {
	known, count := fieldTypes(t), 0
	for _, member := range object.Members {
		if _, ok := known[memberName(member)]; ok {
			count++
		}
	}
	return count
}
